package overload

import "time"

// LineLimiter bounds the log lines of events that are alike. It answers the load in which an instance refuses more
// requests than anyone reads lines of: writing a line costs more than the refusal. Lines that are left out are counted
// by key. The number of keys must be bounded. It is not safe for concurrent use.
type LineLimiter[K comparable] struct {
	perWindow int
	window    time.Duration
	start     time.Time
	written   map[K]int
	omitted   map[K]int
}

// NewLineLimiter returns a LineLimiter that lets perWindow lines of each key be written in each window.
func NewLineLimiter[K comparable](perWindow int, window time.Duration) *LineLimiter[K] {
	return &LineLimiter[K]{perWindow: perWindow, window: window, written: map[K]int{}, omitted: map[K]int{}}
}

// Allow reports whether a line may be written now, and counts it.
func (l *LineLimiter[K]) Allow(key K, now time.Time) bool {
	if elapsed := now.Sub(l.start); elapsed >= l.window || elapsed < 0 {
		l.start = now
		clear(l.written)
	}
	if l.written[key] < l.perWindow {
		l.written[key]++
		return true
	}
	l.omitted[key]++
	return false
}

// WindowEnd returns when the current window ends.
func (l *LineLimiter[K]) WindowEnd() time.Time { return l.start.Add(l.window) }

// TakeOmitted returns the numbers of lines left out since the last call, by key.
func (l *LineLimiter[K]) TakeOmitted() map[K]int {
	omitted := l.omitted
	l.omitted = map[K]int{}
	return omitted
}
