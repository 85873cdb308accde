package holder

import (
	"maps"
	"time"
)

// peers counts the instances of each failure domain, which share a budget of repeated sends. If the count is too
// small, the instances together exceed the budget. An instance that stops reporting is therefore still counted for a
// time: it may be partitioned from the holder and continue to use its share.
type peers struct {
	// firstReport is when the first report was received.
	firstReport time.Time
	known       map[string]peer // by name
}

type peer struct {
	domain     string
	lastReport time.Time
}

// peerRetention is how long an instance that has stopped reporting is counted. It is longer than all but rare
// partitions.
const peerRetention = 10 * time.Minute

// recordReport records a report of an instance.
func (p *peers) recordReport(name, domain string, now time.Time) {
	if p.firstReport.IsZero() {
		p.firstReport = now
	}
	p.known[name] = peer{domain, now}
}

// count returns the number of instances in a failure domain. It returns 0 until all of them can have reported;
// otherwise the first one to report after a take-over would be informed that it is the only one.
func (p *peers) count(domain string, now time.Time) int {
	if now.Sub(p.firstReport) < reportLifetime {
		return 0
	}
	maps.DeleteFunc(p.known, func(_ string, known peer) bool { return now.Sub(known.lastReport) > peerRetention })
	n := 0
	for _, known := range p.known {
		if known.domain == domain {
			n++
		}
	}
	return n
}
