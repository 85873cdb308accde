package directory

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// EngineView is what the holder says of one engine.
type EngineView struct {
	Engine string
	// Born is when the engine that is meant was born, 0 if it does not say.
	Born int64
	// Units are the models and adapters that get requests.
	Units []UnitView
}

// UnitView is a unit on an engine.
type UnitView struct {
	Unit serving.Unit
	// Ready is when it is expected to serve; zero if it served when this was said.
	Ready time.Time
}

// Replica is a place where a unit is served.
type Replica struct {
	Server serving.Server
	// Ready is when it is expected to serve; zero if it served when last heard of.
	Ready time.Time
	// Others is how many requests of other instances run on the engine, as of Age ago.
	Others int
	Age    time.Duration
}

// ApplyViews takes over what the holder with the given fencing token says: the
// views that have changed, and how many requests of other instances run on each
// engine. Engines that it does not name keep their views.
func (d *Directory) ApplyViews(fence int64, views []EngineView, others map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence < d.viewsFrom {
		return
	}
	if fence > d.viewsFrom {
		clear(d.views)
		clear(d.lacks)
		d.viewsFrom = fence
	}
	d.spacing = min(viewLifetime, now.Sub(d.heard))
	d.heard, d.others = now, others
	for _, v := range views {
		if s, live := d.servers[v.Engine]; live && s.SameLife(v.Born) {
			d.views[v.Engine] = v
			delete(d.lacks, v.Engine)
		}
	}
}

// ApplyAdmissions takes over which share of deferrable requests to admit, by model; of
// those that it does not name all are.
func (d *Directory) ApplyAdmissions(admit map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admit = admit
}

// Admit returns the share of a model's deferrable requests to admit: 1 if the holder has
// not been heard for long.
func (d *Directory) Admit(model string, now time.Time) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	share, named := d.admit[model]
	if !named || now.Sub(d.heard) >= viewLifetime {
		return 1
	}
	return share
}

// lackLifetime is how long an engine's own word that it does not have a unit is taken:
// longer than the holder's newer word is on its way, shorter than it takes the engine
// to be restarted or to get the unit by an order of another holder.
const lackLifetime = time.Second

// Lacks notes that an engine said that it does not have a unit. Until the holder says
// something new of the engine, it is not offered for the unit: each send would be
// refused again, and is drawn from the budget of repeated ones.
func (d *Directory) Lacks(id string, unit serving.Unit, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, live := d.servers[id]; !live {
		return
	}
	if d.lacks[id] == nil {
		d.lacks[id] = map[serving.Unit]time.Time{}
	}
	d.lacks[id][unit] = now.Add(lackLifetime)
}

// viewLifetime is how long the holder's word is taken without another: the
// engine's own entry, a second or two old, is better then.
const viewLifetime = 3 * time.Second

// Replicas returns where a unit of a service is served or will be.
func (d *Directory) Replicas(service string, unit serving.Unit, now time.Time) []Replica {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var found []Replica
	fresh := now.Sub(d.heard) < viewLifetime
	age := now.Sub(d.heard) + d.spacing/2 // instances report as often as they hear
	for _, s := range d.servers {
		if s.Service != service || s.Draining || now.Before(d.lacks[s.ID][unit]) {
			continue
		}
		view, viewed := d.views[s.ID]
		if viewed && fresh {
			for _, u := range view.Units {
				if u.Unit == unit {
					found = append(found, Replica{Server: s, Ready: u.Ready, Others: d.others[s.ID], Age: age})
				}
			}
			continue
		}
		if adapters, loaded := s.Models[unit.Model]; loaded && (unit.Adapter == "" || slices.Contains(adapters, unit.Adapter)) {
			found = append(found, Replica{Server: s, Others: d.others[s.ID], Age: age})
		}
	}
	slices.SortFunc(found, func(a, b Replica) int { return byID(a.Server, b.Server) })
	return found
}

// UnitsOn returns the units that an engine serves or will, by the holder's word or,
// without that, by what the engine announced.
func (d *Directory) UnitsOn(id string) []serving.Unit {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var units []serving.Unit
	if view, viewed := d.views[id]; viewed {
		for _, u := range view.Units {
			units = append(units, u.Unit)
		}
		return units
	}
	for model := range d.servers[id].Models {
		units = append(units, serving.Unit{Model: model})
	}
	return units
}
