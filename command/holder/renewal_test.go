package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// takeOverFrom has h take the lease over from whoever has it, and do its work.
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
	go keepWanting(ctx, h, "m1", "m2")
}

// TestSuccessorCountsFromTheLastRenewal: a holder is killed. The instance that has heard
// its answers until then takes over 1.7 s later, when it is sure, and orders once the
// killed one's last order is settle ago: 5.7 s after the last renewal, not after the
// take-over.
func TestSuccessorCountsFromTheLastRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle, untilSure = 3 * time.Second, 1700 * time.Millisecond
		platform := standin.NewPlatform()
		engine := &judged{fakeEngine: fakeEngine{models: map[string][]string{}}}
		a := newTestHolder("a", platform, engine, settle, "m1", "m2")
		b := newTestHolder("b", platform, engine, settle, "m1", "m2")
		first, kill := context.WithCancel(t.Context())
		takeOverFrom(first, t, a)
		for range 100 {
			time.Sleep(125 * time.Millisecond)
			news, err := a.Exchange(Report{Name: "b"}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			b.Heard(news.Lease)
		}
		kill()
		killed := time.Now()
		time.Sleep(untilSure)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, b)
		time.Sleep(10 * time.Second)
		stop()
		time.Sleep(10 * time.Second) // all that runs has ended
		engine.mu.Lock()
		defer engine.mu.Unlock()
		last, began := time.Time{}, time.Time{}
		for _, o := range engine.accepted {
			switch {
			case o.holder == "a":
				last = o.at
			case began.IsZero():
				began = o.at
			}
		}
		if last.IsZero() || began.IsZero() {
			t.Fatalf("orders %v", engine.accepted)
		}
		if took, most := began.Sub(killed), validity+settle+settleSlack+500*time.Millisecond; took > most {
			t.Errorf("loads stopped for %s after the holder was killed, want %s at most", took, most)
		}
		if gap := began.Sub(last); gap < settle {
			t.Errorf("ordered %s after the one before", gap)
		}
	})
}

// TestRenewalWithoutAnswer: the store carries renewals out and their answers are lost. The
// holder does not take the record that they made for another's, and keeps ordering.
func TestRenewalWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		engine := &judged{fakeEngine: fakeEngine{models: map[string][]string{}}}
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
		time.Sleep(10 * time.Second) // all that runs has ended
		engine.mu.Lock()
		defer engine.mu.Unlock()
		if n := len(engine.accepted); a.Fence() != 1 || n < 15 {
			t.Errorf("%d orders, under token %d", n, a.Fence())
		}
		if last := engine.accepted[len(engine.accepted)-1]; now.Sub(last.at) > 5*time.Second {
			t.Errorf("the last order is %s ago", now.Sub(last.at))
		}
	})
}

// TestReleaseAfterRenewalWithoutAnswer: the same, and then the holder leaves: its successor
// finds the lease given up.
func TestReleaseAfterRenewalWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		a := newTestHolder("a", platform, &fakeEngine{models: map[string][]string{}}, time.Second, "m1")
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		takeOverFrom(ctx, t, a)
		time.Sleep(10 * time.Second)
		platform.LoseAnswers(1)
		a.renewing.Lock()
		if _, err := a.writeRenewal(ctx); err == nil {
			t.Error("the answer was not lost")
		}
		a.renewing.Unlock()
		a.Release(ctx)
		if record, _, err := a.Current(ctx); err != nil || !record.Released {
			t.Errorf("the record is %+v, %v", record, err)
		}
		stop()
		time.Sleep(10 * time.Second) // all that runs has ended
	})
}
