package holder

import (
	"maps"
	"time"
)

// peers counts the instances of each failure domain, for the budget of repeated sends
// that they share. A count that is too small has them take more than there is, so one
// that is not heard is not left out at once: it may be cut off from the holder, and
// go on spending.
type peers struct {
	// began is when the first was heard.
	began time.Time
	known map[string]peer // by name
}

type peer struct {
	domain string
	heard  time.Time
}

// peerLifetime is how long an instance that is not heard any more is counted: longer
// than partitions last, in all but rare cases.
const peerLifetime = 10 * time.Minute

// heard notes an instance's word.
func (p *peers) heard(name, domain string, now time.Time) {
	if p.began.IsZero() {
		p.began = now
	}
	p.known[name] = peer{domain, now}
}

// count returns how many instances a failure domain has; 0 while not all of them can
// have reported: after a take-over the first would be told that it is alone.
func (p *peers) count(domain string, now time.Time) int {
	if now.Sub(p.began) < instanceLifetime {
		return 0
	}
	maps.DeleteFunc(p.known, func(_ string, known peer) bool { return now.Sub(known.heard) > peerLifetime })
	n := 0
	for _, known := range p.known {
		if known.domain == domain {
			n++
		}
	}
	return n
}
