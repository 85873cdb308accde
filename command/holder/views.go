package holder

import (
	"slices"
	"time"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
)

// views remembers what was last said of each engine, so that instances hear
// only of what has changed.
type views struct {
	change uint64
	last   map[string]viewChange
	made   time.Time
}

type viewChange struct {
	view   directory.EngineView
	change uint64
}

// viewsInterval bounds how often the views are made anew: many instances ask
// within one.
const viewsInterval = 50 * time.Millisecond

// since returns the views that changed after a change, and the newest change.
func (v *views) since(change uint64, fleet *replicas.Fleet, now time.Time) ([]directory.EngineView, uint64) {
	v.refresh(fleet, now)
	var changed []directory.EngineView
	for _, c := range v.last {
		if c.change > change {
			changed = append(changed, c.view)
		}
	}
	return changed, v.change
}

func (v *views) refresh(fleet *replicas.Fleet, now time.Time) {
	if now.Sub(v.made) < viewsInterval {
		return
	}
	v.made = now
	if v.last == nil {
		v.last = map[string]viewChange{}
	}
	for _, e := range fleet.Engines() {
		units := e.Units(now)
		known, found := v.last[e.Server.ID]
		if found && slices.EqualFunc(known.view.Units, units, sameUnit) {
			continue
		}
		v.change++
		v.last[e.Server.ID] = viewChange{view: directory.EngineView{Engine: e.Server.ID, Units: units}, change: v.change}
	}
	for id := range v.last {
		if fleet.Engine(id) == nil {
			delete(v.last, id)
		}
	}
}

func sameUnit(a, b directory.UnitView) bool { return a.Unit == b.Unit && a.Ready.Equal(b.Ready) }
