package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// TestMostConnectionsAtOneInstance guards against requests that are served less often because most new connections come
// to one instance: at their first attempt they are served as often as while the connections are spread.
func TestMostConnectionsAtOneInstance(t *testing.T) {
	f := newFleet(t, 5)
	f.await("a holder", func() bool { return f.holder() != nil })
	served := func(choose func(n int) *running) (ok, sent int64) {
		var work sync.WaitGroup
		var count atomic.Int64
		for n := 0; n < 300 && pause.For(t.Context(), 5*time.Millisecond); n++ {
			sent++
			work.Go(func() {
				route, model := [...]string{"stream", "safe", "unsafe"}[n%3], ""
				if route == "stream" {
					model = "m1"
				}
				if a := f.request(choose(n), route, model); a.err == nil && a.status == http.StatusOK {
					count.Add(1)
				}
			})
		}
		work.Wait()
		return count.Load(), sent
	}
	before, sentBefore := served(func(n int) *running { return f.instances[n%len(f.instances)] })
	for _, r := range []*running{f.holder(), f.instances[0]} {
		after, sent := served(func(n int) *running {
			if n%10 == 0 {
				return f.instances[n/10%len(f.instances)]
			}
			return r
		})
		if 4*after*sentBefore < 3*before*sent {
			t.Errorf("%d of %d served while most connections come to one instance, %d of %d before", after, sent, before, sentBefore)
		}
		t.Logf("%d of %d, %d of %d before", after, sent, before, sentBefore)
	}
}
