package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestNoOrderBeforeLateOrder: an order would let a restarted engine reach the sequence of one to its previous process.
func TestNoOrderBeforeLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{models: map[string][]string{}}
		h := newTestHolder("a", standin.NewPlatform(), engine, time.Second, "m1")
		server, _ := h.dir.Server("e")
		server.Born, server.Revision = 20, server.Revision+1
		h.dir.ApplyServer(server, time.Now())
		if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
			t.Fatal(err)
		}
		now, unit := time.Now(), serving.Unit{Model: "m1"}
		h.fleet.Adopt("e", serving.Report{Born: 20}, now)
		h.fleet.Find("llm", unit, replicas.Waiting{Instance: "i", OnTime: 1}, now)
		operations := h.fleet.Dispatch(now)
		if len(operations) != 1 {
			t.Fatalf("%d operations", len(operations))
		}
		server.Born = 10
		h.fleet.Unanswered(serving.Order{Server: server, Expect: 1}, now)
		w := newWorker(t.Context(), h, "e")
		if _, err := w.sendOrder(operations[0], unit, false, anySequence); !errors.Is(err, errLateOrder) || len(engine.orders) != 0 {
			t.Errorf("%d orders sent, %v", len(engine.orders), err)
		}
	})
}
