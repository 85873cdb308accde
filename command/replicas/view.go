package replicas

import (
	"slices"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// Units returns what gets requests on the engine now or soon.
func (e *Engine) Units(now time.Time) []directory.UnitView {
	var units []directory.UnitView
	if e.Unsure && now.Before(e.Failing) {
		return units // what it holds is not known, and requests would be refused
	}
	for model, c := range e.Copies {
		if c.State == Leaving {
			continue
		}
		units = append(units, directory.UnitView{Unit: serving.Unit{Model: model}, Ready: c.expected("", now)})
		for name, a := range c.Adapters {
			if a.missing {
				continue
			}
			units = append(units, directory.UnitView{Unit: serving.Unit{Model: model, Adapter: name}, Ready: c.expected(name, now)})
		}
	}
	slices.SortFunc(units, func(a, b directory.UnitView) int {
		if a.Unit.String() < b.Unit.String() {
			return -1
		}
		return 1
	})
	return units
}

// expected returns when the copy, with an adapter unless that is empty, is expected to
// serve, and zero if it does.
func (c *Copy) expected(adapter string, now time.Time) time.Time {
	ready := c.Ready
	if a := c.Adapters[adapter]; a != nil {
		ready = later(ready, a.Ready)
	}
	if c.loading(adapter) || ready.After(now) {
		return ready
	}
	return time.Time{}
}

// Claims reports whether the account says that the engine serves the unit now.
func (e *Engine) Claims(unit serving.Unit, now time.Time) bool {
	c := e.Copies[unit.Model]
	if c == nil || c.State == Leaving || now.Before(c.Ready) {
		return false
	}
	if unit.Adapter == "" {
		return true
	}
	a := c.Adapters[unit.Adapter]
	return a != nil && !now.Before(a.Ready)
}

// Unsure returns the engines that have to be read anew, and may be.
func (f *Fleet) Unsure(now time.Time) []string {
	var ids []string
	for _, e := range f.Engines() {
		if !e.Server.Draining && f.Readable(e.Server.ID, now) {
			ids = append(ids, e.Server.ID)
		}
	}
	return ids
}

// Readable reports whether an engine has to be read anew, and may be.
func (f *Fleet) Readable(id string, now time.Time) bool {
	e := f.engines[id]
	return e != nil && e.Unsure && !now.Before(e.readFrom)
}

// BeganUse notes that a request has begun on a unit of an engine, which the instances'
// reports do not say yet.
func (f *Fleet) BeganUse(id string, unit serving.Unit, now time.Time) {
	if e := f.engines[id]; e != nil && e.Copies[unit.Model] != nil {
		c := e.Copies[unit.Model]
		c.toldUntil = later(c.toldUntil, now.Add(f.wordAge))
	}
	f.Used(id, unit, now)
}

// Used notes that a unit is in use on an engine.
func (f *Fleet) Used(id string, unit serving.Unit, now time.Time) {
	e := f.engines[id]
	if e == nil || e.Copies[unit.Model] == nil {
		return
	}
	if a := e.Copies[unit.Model].Adapters[unit.Adapter]; a != nil {
		a.Used = now
	}
}
