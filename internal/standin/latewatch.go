package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/martenport/martenport/store"
)

// LateWatches are watches that show the state of some time ago. Other calls show the current one.
type LateWatches struct {
	// Prefix limits this to watches of that prefix, and Watcher to callers with that IP address; "" for all.
	Prefix, Watcher string
	// Delay is at most store.MaxWatchDelay in a store that follows the specification; 0 for none.
	Delay time.Duration
}

// changeLogTime is for how long the log has changes. It exceeds all delays.
const changeLogTime = 5 * time.Second

// change is a state of an object, and since when it has it.
type change struct {
	obj store.Object
	at  time.Time
}

// DelayWatches makes watches late. It replaces an earlier setting for the same prefix and watcher.
func (p *Platform) DelayWatches(late LateWatches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = slices.DeleteFunc(p.late, func(l LateWatches) bool { return l.Prefix == late.Prefix && l.Watcher == late.Watcher })
	if late.Delay > 0 {
		p.late = append(p.late, late)
	}
	p.notifyChange()
}

// logChange adds a change to the log. p.mu must be held.
func (p *Platform) logChange(obj store.Object) {
	now := time.Now()
	old := 0
	for old < len(p.changeLog) && now.Sub(p.changeLog[old].at) > changeLogTime {
		old++
	}
	p.changeLog = append(p.changeLog[old:], change{obj, now})
}

// visibleTo returns the part of a watch's answer that it shows by now. later delivers when it may show more; it is nil if it
// shows all. p.mu must be held.
func (p *Platform) visibleTo(req watchRequest, snap store.Snapshot) (visible store.Snapshot, later <-chan time.Time) {
	delay := p.watchDelay(req)
	now := time.Now()
	hidden := slices.IndexFunc(p.changeLog, func(c change) bool { return now.Sub(c.at) < delay })
	if hidden < 0 {
		return snap, nil
	}
	visible = store.Snapshot{Revision: max(req.revision, p.changeLog[hidden].obj.Version-1)}
	shown := map[string]store.Object{}
	for _, obj := range snap.Objects {
		if obj.Version <= visible.Revision {
			shown[obj.Key] = obj
		}
	}
	for _, c := range p.changeLog[:hidden] { // states that hidden changes have replaced
		if strings.HasPrefix(c.obj.Key, req.prefix) && c.obj.Version > req.revision {
			shown[c.obj.Key] = c.obj
		}
	}
	for _, obj := range shown {
		visible.Objects = append(visible.Objects, obj)
	}
	slices.SortFunc(visible.Objects, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return visible, time.After(delay - now.Sub(p.changeLog[hidden].at))
}

// watchDelay returns how late a watch is. p.mu must be held.
func (p *Platform) watchDelay(req watchRequest) time.Duration {
	var delay time.Duration
	for _, l := range p.late {
		if strings.HasPrefix(req.prefix, l.Prefix) && (l.Watcher == "" || l.Watcher == req.watcher) {
			delay = max(delay, l.Delay)
		}
	}
	return delay
}
