package skew

import (
	"maps"
	"sync"
	"time"
)

// Limits of a Window.
const (
	// windowPeriod is the length of each of a window's two periods. A stream is resumed within seconds after it broke off,
	// and few last for longer than a period.
	windowPeriod = 30 * time.Second
	// maxPerPeriod bounds the origins of a period, 16 B each.
	maxPerPeriod = 8192
)

// Digests are the digests of the attempts that began streams, one after the other, by service and software version.
type Digests map[string]map[string][]byte

// Window collects the origins of the last one to two periods for an archive that outlives the process. It is safe for
// concurrent use.
type Window struct {
	mu      sync.Mutex
	periods // guarded by mu
	// recent has the origins added since the last Snapshot, and pending those of the Snapshot; guarded by mu.
	recent, pending map[attemptKey]Origin
	// changed is set if something was added since the last Snapshot, and recentChanged since the last Recent; guarded by mu.
	changed, recentChanged bool
}

// Add adds the origin of a stream that begins now.
func (w *Window) Add(e Entry, now time.Time) { w.add(keyOf(e.Attempt), e.Origin, now) }

func (w *Window) add(key attemptKey, origin Origin, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, windowPeriod, false)
	if _, known := w.current[key]; known || len(w.current) >= maxPerPeriod {
		return
	}
	if w.recent == nil {
		w.recent = map[attemptKey]Origin{}
	}
	w.current[key], w.recent[key] = origin, origin
	w.changed, w.recentChanged = true, true
}

// Snapshot returns the origins in the window, and whether any was added since the last call.
func (w *Window) Snapshot(now time.Time) (digests Digests, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, windowPeriod, false)
	changed, w.changed = w.changed, false
	w.recent, w.pending, w.recentChanged = nil, w.recent, false
	return digestsOf(w.previous, w.current), changed
}

// Recent returns the origins that were added since the last Snapshot, and whether any was since the last call.
func (w *Window) Recent() (digests Digests, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed, w.recentChanged = w.recentChanged, false
	return digestsOf(w.recent), changed
}

// MarkChanged makes the next Snapshot and the next Recent report a change: what was returned last was not archived. Origins
// that have left the window are given up.
func (w *Window) MarkChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recent == nil {
		w.recent = map[attemptKey]Origin{}
	}
	maps.Copy(w.recent, w.pending)
	maps.DeleteFunc(w.recent, func(key attemptKey, _ Origin) bool { return !w.has(key) })
	w.pending, w.changed, w.recentChanged = nil, true, true
}

func digestsOf(periods ...map[attemptKey]Origin) Digests {
	digests := Digests{}
	for _, period := range periods {
		for key, origin := range period {
			if digests[origin.Service] == nil {
				digests[origin.Service] = map[string][]byte{}
			}
			digests[origin.Service][origin.Version] = append(digests[origin.Service][origin.Version], key[:]...)
		}
	}
	return digests
}

// Restore records archived origins in a table and in the window, and returns their number.
func (d Digests) Restore(table *Origins, w *Window, now time.Time) (restored int) {
	for service, versions := range d {
		for version, digests := range versions {
			for len(digests) >= len(attemptKey{}) {
				key, origin := attemptKey(digests[:len(attemptKey{})]), Origin{Service: service, Version: version}
				table.record(key, origin, now)
				w.add(key, origin, now)
				digests = digests[len(attemptKey{}):]
				restored++
			}
		}
	}
	return restored
}
