package orderer

import (
	"testing"
	"testing/synctest"

	"github.com/martenport/martenport/event"
)

// TestRoleIsOrderedOnce: tidying an engine again before its next report came
// ordered its role again, since the last report still names the old one; a
// change of the declaration and the regular round, close together, do that.
// An engine that came back empty is ordered anew, by its first report.
func TestRoleIsOrderedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true, faults{})
		o := w.orderer("first", "e1")
		o.env.Tables.Config.Index().Engines["e1"].Role = "decode"
		mustTakeover(t, o)
		for range 3 {
			o.tidy(t.Context())
		}
		w.mustHaveOrderedRole(1)

		pollUntil(t, o, func() bool { return o.report.Role == "decode" })
		o.tidy(t.Context())
		w.mustHaveOrderedRole(1)

		w.engines["e1"].Restart()
		o.tidy(t.Context())
		pollUntil(t, o, func() bool { return o.report.Role == "" })
		for range 3 {
			o.tidy(t.Context())
		}
		w.mustHaveOrderedRole(2)
		pollUntil(t, o, func() bool { return o.report.Role == "decode" })
	})
}

// mustHaveOrderedRole checks how often the role of e1 was ordered.
func (w *world) mustHaveOrderedRole(want int) {
	w.t.Helper()
	orders := 0
	for _, e := range w.events.Select(event.Filter{Engine: "e1"}) {
		if e.Kind == event.KindRoleOrder {
			orders++
		}
	}
	if orders != want {
		w.t.Errorf("the role was ordered %d times, want %d", orders, want)
	}
}
