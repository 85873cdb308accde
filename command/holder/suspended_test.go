package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
)

// TestSuspendedHolder: a holder whose machine was suspended for longer than its lease was valid must send no more
// orders, even though by the steady clock it renewed the lease a moment ago. Its successor may send orders by then,
// and not all engines compare fencing tokens.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		defer clock.ReplaceOffsetReader(func() (time.Duration, bool) { return suspended, true })()
		platform := standin.NewPlatform()
		engine := &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
		before := newTestHolder("a", platform, engine, time.Second, "m1")
		after := newTestHolder("b", platform, engine, time.Second, "m1")
		if err := before.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
			t.Fatal(err)
		}
		if _, err := before.orderFence(t.Context(), "e1"); err != nil {
			t.Fatalf("order not allowed before the suspension: %v", err)
		}
		record, revision, err := after.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if err := after.TakeOver(t.Context(), record, revision, "test"); err != nil {
			t.Fatal(err)
		}
		suspended = validity + time.Second
		if token, err := before.orderFence(t.Context(), "e1"); err == nil {
			t.Errorf("order allowed with token %d after a suspension of %s", token, suspended)
		}
	})
}
