package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// newTestList returns a list of the servers in a store, in a fleet of some instances.
func newTestList(p *standin.Platform, instances int) (*serverList, *directory.Directory) {
	dir := directory.New()
	w := newWatcher(p, dir, platform.NewBackends(), balance.New(balance.DefaultParams()), func() bool { return false }, func() time.Duration { return time.Second }, discardLog())
	return newServerList(p, w, func() int { return instances }), dir
}

// TestListIsReadForEachStream guards against a call to the store for each stream that waits for the list.
func TestListIsReadForEachStream(t *testing.T) {
	for instances, most := range map[int]int64{6: 11, 330: 2} { // 1 s
		synctest.Test(t, func(t *testing.T) {
			p := standin.NewPlatform()
			p.SetDelay(4 * time.Millisecond)
			l, dir := newTestList(p, instances)
			var streams sync.WaitGroup
			for n := range 200 {
				streams.Go(func() {
					time.Sleep(time.Duration(n) * 5 * time.Millisecond)
					if !l.observeSince(context.Background(), clock.Now(), dir) {
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

// TestListOfCopyPassesForComplete guards against a list that lacks servers whose entries are not written again yet after the
// store came back from a copy.
func TestListOfCopyPassesForComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := standin.NewPlatform(), context.Background()
		l, dir := newTestList(p, 6)
		if !l.observeSince(ctx, clock.Now(), dir) {
			t.Fatal("not read")
		}
		p.Restore(p.Copy())
		time.Sleep(time.Second)
		for restored := clock.Now(); ; time.Sleep(100 * time.Millisecond) {
			complete, age := l.observeSince(ctx, clock.Now(), dir), clock.Since(restored)
			if complete {
				if age < directory.LapseGrace {
					t.Errorf("complete %s after the restore", age)
				}
				return
			}
			if age > 2*directory.LapseGrace {
				t.Fatal("never complete")
			}
		}
	})
}

// TestWaitForListEndsWithClient guards against streams that wait for a store that does not answer after their client has left.
func TestWaitForListEndsWithClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		p.SetDelay(time.Minute)
		l, dir := newTestList(p, 6)
		var streams sync.WaitGroup
		for range 3 {
			streams.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				began := time.Now()
				if l.observeSince(ctx, clock.Now(), dir) || time.Since(began) > time.Second {
					t.Errorf("waited %s", time.Since(began))
				}
			})
		}
		streams.Wait()
	})
}
