package boundedlog

import (
	"sync"
	"time"
)

// Lines limits the log lines about each server, or whatever else has a name, to one in an interval. It is safe for concurrent use.
type Lines struct {
	interval time.Duration

	mu sync.Mutex
	// logged has when a server was last named in a log line, and omitted the lines left out since then, by server ID;
	// guarded by mu.
	logged  map[string]time.Time
	omitted map[string]int
}

// NewLines returns Lines with no line logged.
func NewLines(interval time.Duration) *Lines {
	return &Lines{interval: interval, logged: map[string]time.Time{}, omitted: map[string]int{}}
}

// Due reports whether a log line may name the server again, and how many lines were left out since the last one.
func (l *Lines) Due(server string, now time.Time) (omitted int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, known := l.logged[server]; known && now.Sub(last) < l.interval {
		l.omitted[server]++
		return 0, false
	}
	omitted = l.omitted[server]
	l.dropOld(now)
	l.logged[server] = now
	delete(l.omitted, server)
	return omitted, true
}

// dropOld drops what is known of servers that were named long ago. l.mu must be held.
func (l *Lines) dropOld(now time.Time) {
	for id, last := range l.logged {
		if now.Sub(last) >= l.interval {
			delete(l.logged, id)
			delete(l.omitted, id)
		}
	}
}
