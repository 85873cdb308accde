package holder

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
)

// views holds the last view of each engine, so that instances receive only views that have changed.
type views struct {
	change      uint64
	last        map[string]viewChange
	refreshedAt time.Time
}

type viewChange struct {
	view   directory.EngineView
	change uint64
}

// viewsInterval is the minimum time between two computations of the views; many instances ask within it.
const viewsInterval = 50 * time.Millisecond

// maxViews bounds the number of views in one reply. All instances ask at once when there is a new holder; they
// receive the rest in reply to their next reports.
const maxViews = 128

// since returns the views that have changed after the given change, the oldest changes first, and the change up to
// which they are complete.
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

// admissions returns the share of deferrable requests to admit, by model. h.mu must be held.
func (h *Holder) admissions(now time.Time) map[string]float64 {
	if now.Sub(h.admissionsAt) >= viewsInterval {
		h.admissionsAt = now
		h.admissionShares = h.lessBooked(h.fleet.Admissions(now), now)
	}
	if now.Sub(h.roomAt) >= roomInterval {
		h.roomAt = now
		h.room = h.fleet.Room(now)
		h.reportRoom(now)
	}
	return h.admissionShares
}

func (v *views) refresh(fleet *replicas.Fleet, now time.Time) {
	if now.Sub(v.refreshedAt) < viewsInterval {
		return
	}
	v.refreshedAt = now
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
