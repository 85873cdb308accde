package holder

import (
	"cmp"
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

// maxViews bounds how many views one answer has: all instances ask at once when
// there is a new holder, and the rest follows with their next reports.
const maxViews = 128

// since returns views that changed after a change, the oldest changes first, and
// the change up to which they go.
func (v *views) since(change uint64, fleet *replicas.Fleet, now time.Time) ([]directory.EngineView, uint64) {
	v.refresh(fleet, now)
	var changed []viewChange
	for _, c := range v.last {
		if c.change > change {
			changed = append(changed, c)
		}
	}
	if len(changed) == 0 {
		return nil, v.change
	}
	slices.SortFunc(changed, func(a, b viewChange) int { return cmp.Compare(a.change, b.change) })
	upTo := v.change
	if len(changed) > maxViews {
		changed = changed[:maxViews]
		upTo = changed[maxViews-1].change
	}
	views := make([]directory.EngineView, 0, len(changed))
	for _, c := range changed {
		views = append(views, c.view)
	}
	return views, upTo
}

// admissions needs mu. It returns which share of its deferrable requests to admit, by model.
func (h *Holder) admissions(now time.Time) map[string]float64 {
	if now.Sub(h.admitted) >= viewsInterval {
		h.admitted = now
		h.admit = h.fleet.Admissions(now)
	}
	return h.admit
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
		if found && known.view.Born == e.Server.Born && slices.EqualFunc(known.view.Units, units, sameUnit) {
			continue
		}
		v.change++
		v.last[e.Server.ID] = viewChange{view: directory.EngineView{Engine: e.Server.ID, Born: e.Server.Born, Units: units}, change: v.change}
	}
	for id := range v.last {
		if fleet.Engine(id) == nil {
			delete(v.last, id)
		}
	}
}

func sameUnit(a, b directory.UnitView) bool { return a.Unit == b.Unit && a.Ready.Equal(b.Ready) }
