package holder

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// announceEngine adds an entry of the test engine, whose process started some time ago.
func announceEngine(d *directory.Directory, age time.Duration) {
	time.Sleep(time.Millisecond)
	d.ApplyServer(serving.Server{
		ID: "e", Service: "llm", Born: time.Now().Add(-age).UnixMilli(), Revision: store.Revision(time.Now().UnixMilli()),
		Tiers: map[string]serving.Tier{"m1": serving.TierDisk, "m2": serving.TierDisk},
	}, time.Now())
}

// listServers ends the first list of servers.
func listServers(d *directory.Directory) {
	d.SetRevision(store.Revision(time.Now().UnixMilli()), time.Now())
}

// removeEngine removes the entry of the test engine.
func removeEngine(d *directory.Directory) {
	time.Sleep(time.Millisecond)
	d.RemoveServer("e", store.Revision(time.Now().UnixMilli()), time.Now())
}

// TestNewHolderOvercommitsRestartedEngine: an order to an engine's previous process, lost by a holder that has ended, overfilled
// the engine after the next holder had filled it.
func TestNewHolderOvercommitsRestartedEngine(t *testing.T) {
	for name, c := range map[string]struct {
		// before happens before the takeover; restarted is when the instance learns of a process that late orders may reach,
		// zero if there is none.
		before func(d *directory.Directory) (restarted time.Time)
		// after is how long after the takeover the engine restarts, zero if it does not.
		after time.Duration
		first bool
	}{
		"restarted": {before: func(d *directory.Directory) time.Time {
			announceEngine(d, time.Minute)
			listServers(d)
			announceEngine(d, 0)
			return time.Now()
		}},
		"restarted and was missing": {before: func(d *directory.Directory) time.Time {
			announceEngine(d, time.Minute)
			listServers(d)
			removeEngine(d)
			announceEngine(d, 0)
			return time.Now()
		}},
		"may have restarted before the first list": {before: func(d *directory.Directory) time.Time {
			announceEngine(d, 5*time.Second)
			listServers(d)
			return time.Now()
		}},
		"restarted after the takeover": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, time.Minute)
			listServers(d)
			return none
		}, after: time.Second},
		"restarted after the first orders": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, time.Minute)
			listServers(d)
			return none
		}, after: 8 * time.Second},
		"restarted long ago": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, time.Minute)
			listServers(d)
			announceEngine(d, 0)
			time.Sleep(replicas.LateOrderWindow)
			return none
		}},
		"started long before the first list": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, time.Minute)
			listServers(d)
			return none
		}},
		"a new engine": {before: func(d *directory.Directory) (none time.Time) {
			listServers(d)
			announceEngine(d, 0)
			return none
		}},
		"its entry was missing": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, time.Minute)
			listServers(d)
			removeEngine(d)
			announceEngine(d, time.Minute+2*time.Millisecond)
			return none
		}},
		"no holder before": {before: func(d *directory.Directory) (none time.Time) {
			announceEngine(d, 0)
			listServers(d)
			return none
		}, first: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, engine := standin.NewPlatform(), &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
				if !c.first {
					before := newTestHolder("a", platform, engine, time.Second, "m1", "m2")
					if err := before.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
						t.Fatal(err)
					}
				}
				h := newTestHolder("b", platform, engine, time.Second, "m1", "m2")
				config := h.dir.Config()
				h.dir = directory.New()
				h.dir.ApplyConfig(config)
				restarted := c.before(h.dir)
				ctx, stop := context.WithCancel(t.Context())
				takeOverFrom(ctx, t, h)
				orderFrom := h.lease.OrderFrom("e")
				if c.after > 0 {
					time.Sleep(c.after)
					announceEngine(h.dir, 0)
					restarted = time.Now()
				}
				time.Sleep(time.Minute)
				stop()
				time.Sleep(10 * time.Second) // let all goroutines end
				server, _ := h.dir.Server("e")
				engine.mu.Lock()
				defer engine.mu.Unlock()
				first := slices.IndexFunc(engine.accepted, func(o acceptedOrder) bool { return o.born == server.Born })
				if first < 0 {
					t.Fatal("the engine gets no orders")
				}
				from := orderFrom
				if !restarted.IsZero() {
					from = earlier(orderFrom, restarted).Add(replicas.LateOrderWindow)
				}
				if late := engine.accepted[first].at.Sub(from); late < 0 || late > 2*time.Second {
					t.Errorf("first order %s after orders are safe, want less than 2 s", late)
				}
			})
		})
	}
}
