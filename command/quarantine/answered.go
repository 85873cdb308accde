package quarantine

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// What was answered a moment ago does not end servers. Where many clients ask for the same
// thing it runs on all servers at once: three that end together are three ends under it, before
// the next answer clears it.

const (
	// answeredFor is for how long an answer speaks for a request at the least, and for twice
	// as long at the most.
	answeredFor = 10 * time.Second
	// maxAnswered bounds the requests remembered in each of the two spans, about 60 B each.
	maxAnswered = 8192
)

// answered are the requests that were answered of late.
type answered struct {
	// recent and before are those since began, and those of the span before.
	recent, before map[serving.Fingerprint]struct{}
	began          time.Time
}

// note notes that a request was answered.
func (a *answered) note(fp serving.Fingerprint, now time.Time) {
	a.turn(now)
	if len(a.recent) < maxAnswered {
		a.recent[fp] = struct{}{}
	}
}

// knows reports whether a request was answered of late.
func (a *answered) knows(fp serving.Fingerprint, now time.Time) bool {
	a.turn(now)
	_, recent := a.recent[fp]
	_, before := a.before[fp]
	return recent || before
}

// turn begins a new span when the last one is over.
func (a *answered) turn(now time.Time) {
	over := now.Sub(a.began)
	if a.recent != nil && over < answeredFor {
		return
	}
	a.before = a.recent
	if over >= 2*answeredFor {
		a.before = nil
	}
	a.recent, a.began = map[serving.Fingerprint]struct{}{}, now
}
