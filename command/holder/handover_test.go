package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
)

// TestLeaseHandedOver checks when a holder gives up the lease for the engines that it does not reach.
func TestLeaseHandedOver(t *testing.T) {
	for name, c := range map[string]struct {
		own, other float64
		lasts      time.Duration
		want       bool
	}{
		"reaches none, another all":        {0, 1, 2 * handOverAfter, true},
		"for a moment":                     {0, 1, handOverAfter / 4, false},
		"nobody reaches any":               {0, 0, 2 * handOverAfter, false},
		"a failure domain is out of reach": {2.0 / 3, 1, 2 * handOverAfter, false},
		"another reaches few more":         {0.4, 0.6, 2 * handOverAfter, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			engine := &fakeEngine{models: map[string][]string{}}
			h := newTestHolder("a", standin.NewPlatform(), engine, time.Second, "m1")
			var reached atomic.Value
			reached.Store(1.0)
			h.SetReach(func() float64 { return reached.Load().(float64) })
			ctx, stop := context.WithCancel(t.Context())
			takeOverFrom(ctx, t, h)
			go func() {
				for ctx.Err() == nil {
					_, _ = h.Exchange(Report{Name: "b", Reached: c.other}, time.Now())
					time.Sleep(100 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second)
			reached.Store(c.own)
			time.Sleep(c.lasts)
			reached.Store(1.0)
			time.Sleep(time.Second)
			if h.Holds() == c.want {
				t.Errorf("%s: holds the lease: %t", name, h.Holds())
			}
			stop()
			time.Sleep(10 * time.Second)
		})
	}
}

// slowStore is a store whose first write takes a second.
type slowStore struct {
	store.Store
	written atomic.Bool
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	if !s.written.Swap(true) {
		time.Sleep(time.Second)
	}
	return s.Store.Put(ctx, key, value, version)
}

// TestReleaseIsNotOvertaken guards against an instance that takes over its own lease while it releases it, and writes the released
// record of the lease before over the new one, whose token is then issued twice.
func TestReleaseIsNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewPlatform()
		engine := &fakeEngine{models: map[string][]string{}}
		h := newTestHolder("a", platform, engine, time.Second, "m1")
		ctx, stop := context.WithCancel(t.Context())
		takeOverFrom(ctx, t, h)
		h.store = &slowStore{Store: platform}
		released := make(chan struct{})
		go func() {
			h.Release(ctx)
			close(released)
		}()
		time.Sleep(500 * time.Millisecond)
		record, revision, err := h.Current(ctx)
		if err != nil || h.Holds() {
			t.Fatalf("%v, holds %t", err, h.Holds())
		}
		if err := h.TakeOver(ctx, record, revision, "own"); !errors.Is(err, store.ErrConflict) {
			t.Errorf("taken over during the release: %v", err)
		}
		<-released
		record, _, err = h.Current(ctx)
		if err != nil || !record.Released || record.Fence != 1 {
			t.Errorf("%+v, %v; want the first lease, released", record, err)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestReachIsTriedBeforeHandOver guards against a holder that counts as isolated since two engines in a row could not be connected
// to, gives up the lease although it reaches most others, takes it again, and orders no loads meanwhile.
func TestReachIsTriedBeforeHandOver(t *testing.T) {
	for name, reachable := range map[string]bool{"others are in reach": true, "none is in reach": false} {
		synctest.Test(t, func(t *testing.T) {
			h := newTestHolder("a", standin.NewPlatform(), &fakeEngine{models: map[string][]string{}}, time.Second, "m1")
			var isolated atomic.Bool
			h.SetReach(func() float64 {
				if isolated.Load() {
					return 0
				}
				return 1
			})
			h.SetReachCheck(func(context.Context) {
				if reachable {
					isolated.Store(false)
				}
			})
			ctx, stop := context.WithCancel(t.Context())
			takeOverFrom(ctx, t, h)
			go func() {
				for ctx.Err() == nil {
					_, _ = h.Exchange(Report{Name: "b", Reached: 1}, time.Now())
					time.Sleep(100 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second)
			for range 5 {
				isolated.Store(true)
				time.Sleep(2 * handOverAfter)
			}
			if h.Holds() != reachable {
				t.Errorf("%s: holds the lease: %t", name, h.Holds())
			}
			stop()
			time.Sleep(10 * time.Second)
		})
	}
}

// TestReachOfEarlierTerm guards against a holder that gives up the lease at once, since it reached few engines when it last held it.
func TestReachOfEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHolder("a", standin.NewPlatform(), &fakeEngine{models: map[string][]string{}}, time.Second, "m1")
		h.SetReach(func() float64 { return 0 })
		ctx, stop := context.WithCancel(t.Context())
		takeOverFrom(ctx, t, h)
		_, _ = h.Exchange(Report{Name: "b", Reached: 1}, time.Now())
		h.handOverDue(time.Now())
		time.Sleep(handOverAfter)
		h.handOver(ctx)
		h.mu.Lock()
		since := h.fewReachedSince
		h.mu.Unlock()
		if !since.IsZero() {
			t.Errorf("few engines are in reach since %v, when the lease was held before", since)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}
