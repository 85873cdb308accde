package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// slowLists is a store that returns lists some time after it has read them.
type slowLists struct {
	store.Store
	takes time.Duration
	calls atomic.Int64
}

func (s *slowLists) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.calls.Add(1)
	snap, err := s.Store.List(ctx, prefix)
	if !pause.For(ctx, s.takes) {
		return store.Snapshot{}, store.ErrUnknown
	}
	return snap, err
}

// newTestList returns reads of the list of servers, in a fleet of some instances, and what their instance knows of the store.
func newTestList(s store.Store, instances int) (*versionReads, *watcher) {
	w := newWatcher(s, directory.New(), nil, nil, func() bool { return false }, func() time.Duration { return time.Second }, discardLog())
	return newServerList(s, w, func() int { return instances }), w
}

// TestReadersOfListEndEachOthersCalls guards against callers that get no list while others ask, although each call would return one.
func TestReadersOfListEndEachOthersCalls(t *testing.T) {
	const callers, takes = 40, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &slowLists{Store: standin.NewPlatform(), takes: takes}
		l, _ := newTestList(s, 6)
		var served atomic.Int64
		var work sync.WaitGroup
		for n := range callers {
			work.Go(func() {
				time.Sleep(time.Duration(n) * takes / 10)
				arrived := clock.Now()
				for range maxOriginQuestions {
					ctx, cancel := context.WithTimeout(t.Context(), originTimeout)
					_, known := l.since(ctx, arrived)
					cancel()
					if known {
						served.Add(1)
						return
					}
				}
			})
		}
		work.Wait()
		if served.Load() < callers {
			t.Errorf("%d of %d got a list, %d calls", served.Load(), callers, s.calls.Load())
		}
	})
}

// TestEarlierListPassesForNew guards against a list that was read before a client came and tells it that there is one version.
func TestEarlierListPassesForNew(t *testing.T) {
	const takes = 20 * time.Millisecond
	for name, after := range map[string]time.Duration{"while it is read": takes / 2, "after it": 2 * takes} {
		synctest.Test(t, func(t *testing.T) {
			p := standin.NewPlatform()
			l, _ := newTestList(&slowLists{Store: p, takes: takes}, 6)
			writeServer(t, p, "a", "v1")
			go l.since(t.Context(), clock.Now())
			time.Sleep(after)
			writeServer(t, p, "b", "v2")
			if versions, ok := l.since(t.Context(), clock.Now()); !ok || len(versions["s"]) != 2 {
				t.Errorf("%s: %v, %t, want both versions", name, versions, ok)
			}
		})
	}
}

// TestReadHidesListBeforeIt guards against a client that has to wait for another read although one since it came has ended.
func TestReadHidesListBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestList(&slowLists{Store: standin.NewPlatform(), takes: minReadsPause}, 6)
		arrived := clock.Now()
		if _, ok := l.since(t.Context(), arrived); !ok {
			t.Error("no list")
		}
		time.Sleep(minReadsPause)
		go l.since(t.Context(), clock.Now())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), minReadsPause/2)
		defer cancel()
		if _, ok := l.since(ctx, arrived); !ok {
			t.Error("no list while the next one is read")
		}
		time.Sleep(time.Minute) // the read ends
	})
}

// TestListWithoutLapsedEntriesPassesForComplete guards against a list that tells that there is one version while the store may
// lack entries, and against a failed or incomplete list that stands for good.
func TestListWithoutLapsedEntriesPassesForComplete(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(p *standin.Platform, w *watcher)
	}{
		"the store is down":    {func(p *standin.Platform, _ *watcher) { p.SetDown(true) }, func(p *standin.Platform, _ *watcher) { p.SetDown(false) }},
		"the store was down":   {func(_ *standin.Platform, w *watcher) { w.recordMassLapse(2, 3) }, nil},
		"the store was copied": {func(p *standin.Platform, _ *watcher) { p.Restore(p.Copy()) }, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := standin.NewPlatform()
			l, w := newTestList(p, 6)
			w.recordEra(0, true)
			c.begin(p, w)
			arrived := clock.Now()
			if _, ok := l.since(t.Context(), arrived); ok {
				t.Errorf("%s: the list passes for complete", name)
			}
			if c.end != nil {
				c.end(p, w)
			}
			time.Sleep(directory.LapseGrace)
			if _, ok := l.since(t.Context(), arrived); !ok {
				t.Errorf("%s: no list after it", name)
			}
		})
	}
}

// TestListIsReadForEachStream guards against a call to the store for each stream that waits for the list.
func TestListIsReadForEachStream(t *testing.T) {
	for instances, most := range map[int]int64{6: 11, 330: 2} { // 1 s
		synctest.Test(t, func(t *testing.T) {
			p := standin.NewPlatform()
			p.SetDelay(4 * time.Millisecond)
			l, _ := newTestList(p, instances)
			var streams sync.WaitGroup
			for n := range 200 {
				streams.Go(func() {
					time.Sleep(time.Duration(n) * 5 * time.Millisecond)
					if _, ok := l.since(context.Background(), clock.Now()); !ok {
						t.Error("not read")
					}
				})
			}
			time.Sleep(time.Second)
			if got := p.Reads.Load(); got > most {
				t.Errorf("%d instances: %d calls in a second, want at most %d", instances, got, most)
			}
			streams.Wait()
		})
	}
}

// TestWaitForListEndsWithClient guards against streams that wait for a store that does not answer after their client has left.
func TestWaitForListEndsWithClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		p.SetDelay(time.Minute)
		l, _ := newTestList(p, 6)
		var streams sync.WaitGroup
		for range 3 {
			streams.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				began := time.Now()
				if _, ok := l.since(ctx, clock.Now()); ok || time.Since(began) > time.Second {
					t.Errorf("waited %s", time.Since(began))
				}
			})
		}
		streams.Wait()
	})
}

// writeServer writes the entry of a server of the service s.
func writeServer(t *testing.T, p *standin.Platform, id, version string) {
	t.Helper()
	entry := `{"service":"s","address":"127.0.0.1:1","zone":"a","version":"` + version + `","slots":1,"state":"ready","coldLeftMs":0,"sequence":1}`
	if _, err := p.Put(t.Context(), platform.PrefixServers+id, []byte(entry), 0); err != nil {
		t.Fatal(err)
	}
}
