package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// EngineView is the state of one engine according to the holder.
type EngineView struct {
	Engine string
	// Born is when the process of the engine started, 0 if it does not announce that.
	Born int64
	// Units are the models and adapters to which requests may be sent.
	Units []UnitView
}

// UnitView is the state of a unit on an engine.
type UnitView struct {
	Unit serving.Unit
	// Ready is when the unit is expected to be ready; zero if it was ready when the view was made.
	Ready time.Time
}

// Replica is a server on which a unit is ready or will be.
type Replica struct {
	Server serving.Server
	// Ready is when the unit is expected to be ready; zero if it was ready at the last update.
	Ready time.Time
	// Others is the number of running requests of other instances on the engine, Age ago.
	Others int
	Age    time.Duration
}

// ApplyViews applies an update of the holder with the given fencing token: the views that have changed, and the
// number of running requests of other instances on each engine. Engines without a new view keep theirs. Updates of
// holders with lower tokens are ignored.
func (d *Directory) ApplyViews(fence int64, views []EngineView, others map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence < d.viewsFence {
		return
	}
	if fence > d.viewsFence {
		clear(d.views)
		clear(d.missingUnits)
		d.viewsFence = fence
	}
	d.updateInterval = min(viewTTL, now.Sub(d.lastUpdate))
	d.lastUpdate, d.otherInstancesLoads = now, others
	for _, v := range views {
		if s, live := d.servers[v.Engine]; live && s.MayBeSameProcess(v.Born) {
			d.views[v.Engine] = v
			delete(d.missingUnits, v.Engine)
		}
	}
}

// ApplyAdmissions sets the share of deferrable requests to admit, by model. All requests are admitted for models
// that are not in the map.
func (d *Directory) ApplyAdmissions(admit map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admissionShares = admit
}

// Admit returns the share of a model's deferrable requests to admit: 1 if there was no update of the holder within
// viewTTL.
func (d *Directory) Admit(model string, now time.Time) float64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	share, named := d.admissionShares[model]
	if !named || now.Sub(d.lastUpdate) >= viewTTL {
		return 1
	}
	return share
}

// missingUnitTTL is how long the report of an engine that it does not have a unit is used. It is longer than a newer
// update of the holder takes to arrive, and shorter than a restart of the engine or a load ordered by another
// holder.
const missingUnitTTL = time.Second

// ReportMissingUnit records the report of an engine that it does not have a unit. The engine is not offered for the
// unit until the holder sends a new view of the engine: each request sent would be refused again and would use the
// budget of repeated sends.
func (d *Directory) ReportMissingUnit(id string, unit serving.Unit, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, live := d.servers[id]; !live {
		return
	}
	if d.missingUnits[id] == nil {
		d.missingUnits[id] = map[serving.Unit]time.Time{}
	}
	d.missingUnits[id][unit] = now.Add(missingUnitTTL)
}

// ReportUnloading records that the holder with the given fencing token unloads a model from the process of an engine
// that started at born. The engine is not offered for the model and its adapters until the holder sends a new view of
// the engine, or, if there is none since the message is old, for missingUnitTTL.
func (d *Directory) ReportUnloading(fence int64, id string, born int64, model string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, live := d.servers[id]
	if fence < d.viewsFence || !live || !s.MayBeSameProcess(born) {
		return
	}
	missing := map[serving.Unit]time.Time{{Model: model}: now.Add(missingUnitTTL)}
	for _, u := range d.views[id].Units {
		if u.Unit.Model == model {
			missing[u.Unit] = now.Add(missingUnitTTL)
		}
	}
	if d.missingUnits[id] == nil {
		d.missingUnits[id] = map[serving.Unit]time.Time{}
	}
	maps.Copy(d.missingUnits[id], missing)
}

// viewTTL is how long the holder's views are used without a further update. After that the engine's own entry, which
// is one or two seconds old, is better.
const viewTTL = 3 * time.Second

// Replicas returns the servers on which a unit of a service is ready or will be, sorted by id.
func (d *Directory) Replicas(service string, unit serving.Unit, now time.Time) []Replica {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var found []Replica
	fresh := now.Sub(d.lastUpdate) < viewTTL
	age := now.Sub(d.lastUpdate) + d.updateInterval/2 // instances report as often as they receive updates
	for _, s := range d.servers {
		if s.Service != service || s.Draining || now.Before(d.missingUnits[s.ID][unit]) {
			continue
		}
		view, viewed := d.views[s.ID]
		if viewed && fresh {
			for _, u := range view.Units {
				if u.Unit == unit {
					found = append(found, Replica{Server: s, Ready: u.Ready, Others: d.otherInstancesLoads[s.ID], Age: age})
				}
			}
			continue
		}
		if adapters, loaded := s.Models[unit.Model]; loaded && (unit.Adapter == "" || slices.Contains(adapters, unit.Adapter)) {
			found = append(found, Replica{Server: s, Others: d.otherInstancesLoads[s.ID], Age: age})
		}
	}
	slices.SortFunc(found, func(a, b Replica) int { return byID(a.Server, b.Server) })
	return found
}

// OthersOn returns the number of running requests of other instances on an engine, as last reported by the holder; known is
// false if there was no report within viewTTL, or the server is no engine that the holder reports on.
func (d *Directory) OthersOn(id string, now time.Time) (n int, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if _, viewed := d.views[id]; !viewed || now.Sub(d.lastUpdate) >= viewTTL {
		return 0, false
	}
	return d.otherInstancesLoads[id], true
}

// UnitsOn returns the units that are or will be ready on an engine: according to the holder's view or, without one,
// the engine's announcement.
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
