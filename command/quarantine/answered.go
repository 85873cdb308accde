package quarantine

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// A request that was answered recently is not held responsible for crashes. A request that many
// clients send runs on all servers at the same time: if three servers crash together, three crashes
// would count against it before its next answer clears it.

const (
	// minAnswerRetention is the minimum time for which an answer is remembered. The maximum is
	// twice as long.
	minAnswerRetention = 10 * time.Second
	// maxRecentAnswers bounds the requests remembered in each of the two periods, about 60 B each.
	maxRecentAnswers = 8192
)

// recentAnswers is the set of requests that were answered recently.
type recentAnswers struct {
	// current holds the requests answered since periodStart, previous those of the period before.
	current, previous map[serving.Fingerprint]struct{}
	periodStart       time.Time
}

// add records that a request was answered.
func (a *recentAnswers) add(fp serving.Fingerprint, now time.Time) {
	a.rotate(now)
	if len(a.current) < maxRecentAnswers {
		a.current[fp] = struct{}{}
	}
}

// contains reports whether a request was answered recently.
func (a *recentAnswers) contains(fp serving.Fingerprint, now time.Time) bool {
	a.rotate(now)
	_, current := a.current[fp]
	_, previous := a.previous[fp]
	return current || previous
}

// rotate starts a new period if the current one has ended.
func (a *recentAnswers) rotate(now time.Time) {
	elapsed := now.Sub(a.periodStart)
	if a.current != nil && elapsed < minAnswerRetention {
		return
	}
	a.previous = a.current
	if elapsed >= 2*minAnswerRetention {
		a.previous = nil
	}
	a.current, a.periodStart = map[serving.Fingerprint]struct{}{}, now
}
