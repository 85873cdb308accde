package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// applyForecast applies a view from the holder in which e1 is loading a unit.
func (f *fixture) applyForecast(model string, ready time.Time) {
	view := directory.EngineView{Engine: "e1", Units: []directory.UnitView{{Unit: serving.Unit{Model: model}, Ready: ready}}}
	f.dir.ApplyViews(1, []directory.EngineView{view}, nil, time.Now())
}

// TestForecastConfirmedByHolder: if a load should be complete according to the last report, the
// holder confirms it before a request is sent: the load may have had to wait for an unload.
func TestForecastConfirmedByHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		f.placer.place = Place{Engine: "e1", Ready: time.Now().Add(700 * time.Millisecond)}
		start := time.Now()
		f.applyForecast("cold", start.Add(300*time.Millisecond))
		_, failure := f.serve("stream", "cold", 5*time.Second)
		if waited := time.Since(start); failure != nil || waited < 700*time.Millisecond || waited > 800*time.Millisecond {
			t.Errorf("%v after %s, want an answer when the load is done, after 700 ms", failure, waited)
		}
		if len(f.placer.requests) == 0 {
			t.Error("the holder was not asked")
		}
	})
}

// TestForecastUsedWithoutHolder: while no holder can be asked, a load is assumed to be complete at
// its estimated time.
func TestForecastUsedWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		f.placer.place, f.placer.err = Place{Ready: time.Now().Add(4 * time.Second)}, ErrNoHolder
		start := time.Now()
		f.applyForecast("cold", start.Add(300*time.Millisecond))
		_, failure := f.serve("stream", "cold", 5*time.Second)
		if waited := time.Since(start); failure != nil || waited > 400*time.Millisecond {
			t.Errorf("%v after %s, want an answer after 300 ms", failure, waited)
		}
	})
}
