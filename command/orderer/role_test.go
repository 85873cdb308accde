package orderer

import (
	"testing"
	"testing/synctest"

	"github.com/martenport/martenport/event"
)

// TestRoleIsOrderedOnce guards against ordering a role twice. The last report still shows the old
// role until the next one arrives, so a second reconciliation in between (after a declaration
// change close to the periodic run) repeated the order. A restarted engine must be ordered again,
// after its first report.
func TestRoleIsOrderedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 1, true, faults{})
		o := w.orderer("first", "e1")
		o.env.Tables.Config.Index().Engines["e1"].Role = "decode"
		mustTakeover(t, o)
		for range 3 {
			o.reconcile(t.Context())
		}
		w.requireRoleOrders(1)

		pollUntil(t, o, func() bool { return o.report.Role == "decode" })
		o.reconcile(t.Context())
		w.requireRoleOrders(1)

		w.engines["e1"].Restart()
		o.reconcile(t.Context())
		pollUntil(t, o, func() bool { return o.report.Role == "" })
		for range 3 {
			o.reconcile(t.Context())
		}
		w.requireRoleOrders(2)
		pollUntil(t, o, func() bool { return o.report.Role == "decode" })
	})
}

// requireRoleOrders checks the number of role orders recorded for e1.
func (w *simulation) requireRoleOrders(want int) {
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
