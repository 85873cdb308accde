package replicas

import (
	"slices"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// Units returns the units of the engine that requests may be sent to, now or once they are ready.
func (e *Engine) Units(now time.Time) []directory.UnitView {
	var units []directory.UnitView
	if e.MustBeRead && now.Before(e.FailingUntil) {
		return units // its units are not known, and requests would be refused
	}
	for model, c := range e.Copies {
		if c.State == Unloading {
			continue
		}
		units = append(units, directory.UnitView{Unit: serving.Unit{Model: model}, Ready: c.expectedReady("", now)})
		for name, a := range c.Adapters {
			if a.missing {
				continue
			}
			units = append(units, directory.UnitView{Unit: serving.Unit{Model: model, Adapter: name}, Ready: c.expectedReady(name, now)})
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

// expectedReady returns when the copy, with an adapter unless that is empty, is expected to serve; zero if it serves
// already.
func (c *Copy) expectedReady(adapter string, now time.Time) time.Time {
	ready := c.Ready
	if a := c.Adapters[adapter]; a != nil {
		ready = later(ready, a.Ready)
	}
	if c.loading(adapter) || ready.After(now) {
		return ready
	}
	return time.Time{}
}

// Serves reports whether, according to the record, the engine serves the unit now.
func (e *Engine) Serves(unit serving.Unit, now time.Time) bool {
	c := e.Copies[unit.Model]
	if c == nil || c.State == Unloading || now.Before(c.Ready) {
		return false
	}
	if unit.Adapter == "" {
		return true
	}
	a := c.Adapters[unit.Adapter]
	return a != nil && !now.Before(a.Ready)
}

// EnginesToRead returns the IDs of the engines that must be read again.
func (f *Fleet) EnginesToRead() []string {
	var ids []string
	for _, e := range f.Engines() {
		if !e.Server.Draining && e.MustBeRead {
			ids = append(ids, e.Server.ID)
		}
	}
	return ids
}

// MustBeRead reports whether an engine must be read again.
func (f *Fleet) MustBeRead(id string) bool {
	e := f.engines[id]
	return e != nil && e.MustBeRead
}

// UseStarted records that a request has started on a unit of an engine, which the instances' reports do not include
// yet.
func (f *Fleet) UseStarted(id string, unit serving.Unit, now time.Time) {
	if e := f.engines[id]; e != nil && e.Copies[unit.Model] != nil {
		c := e.Copies[unit.Model]
		c.inUseUntil = later(c.inUseUntil, now.Add(f.reportAge))
	}
	f.MarkUsed(id, unit, now)
}

// MarkUsed records that a unit is in use on an engine.
func (f *Fleet) MarkUsed(id string, unit serving.Unit, now time.Time) {
	e := f.engines[id]
	if e == nil || e.Copies[unit.Model] == nil {
		return
	}
	if a := e.Copies[unit.Model].Adapters[unit.Adapter]; a != nil {
		a.LastUsed = now
	}
}
