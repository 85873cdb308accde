package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// takeOverFrom lets h take over the lease from any holder and starts its work.
func takeOverFrom(ctx context.Context, t *testing.T, h *Holder) {
	t.Helper()
	record, revision, err := h.Current(ctx)
	if err == nil {
		err = h.TakeOver(ctx, record, revision, "test")
	}
	if err != nil {
		t.Fatal(err)
	}
	go h.Run(ctx)
	go requestModelsInTurn(ctx, h, "m1", "m2")
}

// TestSuccessorWaitsFromLastKnownRenewal: a holder is killed. The instance that received its replies until then
// takes over 1.7 s later, when it is sure of the loss. It sends orders from 5.7 s after the last renewal, not after
// the take-over; the last order of the killed holder is then at least settle ago.
func TestSuccessorWaitsFromLastKnownRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle, untilSure = 3 * time.Second, 1700 * time.Millisecond
		platform := standin.NewPlatform()
		engine := &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
		a := newTestHolder("a", platform, engine, settle, "m1", "m2")
		b := newTestHolder("b", platform, engine, settle, "m1", "m2")
		aCtx, kill := context.WithCancel(t.Context())
		takeOverFrom(aCtx, t, a)
		for range 100 {
			time.Sleep(125 * time.Millisecond)
			reply, err := a.Exchange(Report{Name: "b"}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			b.ObserveRemote(reply.Lease)
		}
		kill()
		killed := time.Now()
		time.Sleep(untilSure)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, b)
		time.Sleep(10 * time.Second)
		stop()
		time.Sleep(10 * time.Second) // let all goroutines end
		engine.mu.Lock()
		defer engine.mu.Unlock()
		lastByA, firstByB := time.Time{}, time.Time{}
		for _, o := range engine.accepted {
			switch {
			case o.holder == "a":
				lastByA = o.at
			case firstByB.IsZero():
				firstByB = o.at
			}
		}
		if lastByA.IsZero() || firstByB.IsZero() {
			t.Fatalf("orders %v, want some of both holders", engine.accepted)
		}
		if stopped, most := firstByB.Sub(killed), validity+settle+settleSlack+500*time.Millisecond; stopped > most {
			t.Errorf("no orders for %s after the holder was killed, want %s at most", stopped, most)
		}
		if gap := firstByB.Sub(lastByA); gap < settle {
			t.Errorf("first order %s after the last one of the earlier holder", gap)
		}
	})
}

// TestRenewalWithoutAnswer: the store applies renewals but their responses are lost. The holder must not treat the
// record that they created as that of another holder, and must continue to send orders.
func TestRenewalWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		engine := &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}
		a := newTestHolder("a", platform, engine, time.Second, "m1", "m2")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, a)
		for range 10 {
			time.Sleep(5 * time.Second)
			platform.LoseAnswers(1)
		}
		time.Sleep(5 * time.Second)
		now := time.Now()
		stop()
		time.Sleep(10 * time.Second) // let all goroutines end
		engine.mu.Lock()
		defer engine.mu.Unlock()
		if n := len(engine.accepted); a.Fence() != 1 || n < 15 {
			t.Errorf("%d orders with token %d", n, a.Fence())
		}
		if last := engine.accepted[len(engine.accepted)-1]; now.Sub(last.at) > 5*time.Second {
			t.Errorf("the last order was %s ago, want 5 s at most", now.Sub(last.at))
		}
	})
}

// TestReleaseAfterRenewalWithoutAnswer: the response of a renewal is lost and then the holder leaves. Its successor
// must find the lease released.
func TestReleaseAfterRenewalWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		a := newTestHolder("a", platform, &fakeEngine{models: map[string][]string{}}, time.Second, "m1")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, a)
		time.Sleep(10 * time.Second)
		platform.LoseAnswers(1)
		a.renewMu.Lock()
		if _, err := a.writeRenewal(ctx); err == nil {
			t.Error("the response was not lost")
		}
		a.renewMu.Unlock()
		a.Release(ctx)
		if record, _, err := a.Current(ctx); err != nil || !record.Released {
			t.Errorf("record %+v, error %v, want it released", record, err)
		}
		stop()
		time.Sleep(10 * time.Second) // let all goroutines end
	})
}
