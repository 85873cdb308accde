package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// loadFleet is a fleet under a steady load for one model that three engines have.
type loadFleet struct {
	*fleet
	engines []*standin.Server
	// model is what is asked for: m1, which all engines have, unless it is changed before the load
	// begins.
	model string
	// pause is the pause between requests.
	pause time.Duration
	stop  context.CancelFunc
	ended chan struct{}

	mu sync.Mutex
	// tries are all tries of requests in the order in which they were sent; guarded by mu. The
	// list of instances is guarded by mu, too, while the load runs.
	tries []*try
}

// try is one try of a request.
type try struct {
	answer
	instance *running
	sent     time.Time
	done     bool
}

// Times of the load.
const (
	// loadPause is the pause between requests: some 65 a second.
	loadPause = 15 * time.Millisecond
	// loadInstances is how many instances there are.
	loadInstances = 6
)

// newLoadFleet starts instances and engines. startLoad begins the load.
func newLoadFleet(t *testing.T) *loadFleet {
	f := &loadFleet{fleet: newFleet(t, loadInstances), ended: make(chan struct{}), model: "m1", pause: loadPause}
	f.addServer("e3", "llm", []string{"m1"})
	t.Cleanup(func() { // all at once: each takes seconds to leave
		for _, r := range f.instances {
			r.stop()
		}
	})
	f.engines = []*standin.Server{f.servers["e1"], f.servers["e2"], f.servers["e3"]}
	f.await("a holder, and engines known", func() bool {
		return f.holder() != nil && !slices.ContainsFunc(f.instances, func(r *running) bool { return len(r.dir.IDs()) < 4 })
	})
	return f
}

// startLoad sends requests to the instances by turns until the test or endLoad ends it.
func (f *loadFleet) startLoad() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() {
		defer close(f.ended)
		var work sync.WaitGroup
		for n := 0; pause.For(ctx, f.pause); n++ {
			f.mu.Lock()
			tried := &try{instance: f.instances[n%len(f.instances)], sent: time.Now()}
			f.tries = append(f.tries, tried)
			f.mu.Unlock()
			work.Go(func() {
				a := f.ask(tried.instance, "stream", f.model)
				f.mu.Lock()
				defer f.mu.Unlock()
				tried.answer, tried.done = a, true
			})
		}
		work.Wait()
	}()
	f.t.Cleanup(f.endLoad)
}

// endLoad ends the load and waits for the answers.
func (f *loadFleet) endLoad() {
	f.stop()
	<-f.ended
}

// ends counts how tries ended that were sent in a time.
type ends struct {
	tried, served, refused, failed int
	// unhinted are those of the refused that were not told when to come back.
	unhinted int
}

func (e ends) String() string {
	return fmt.Sprintf("%d tried: %d served, %d refused (%d without a time to come back), %d failed", e.tried, e.served, e.refused, e.unhinted, e.failed)
}

// between counts the tries that were sent from a time on until before another.
func (f *loadFleet) between(from, to time.Time) (e ends) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tried := range f.tries {
		if tried.sent.Before(from) || !tried.sent.Before(to) || !tried.done {
			continue
		}
		e.tried++
		switch {
		case tried.err == nil && tried.status == http.StatusOK && tried.body == wholeStream(f.model):
			e.served++
		case tried.err == nil && (tried.status == http.StatusServiceUnavailable || tried.status == http.StatusTooManyRequests):
			e.refused++
			if tried.after == 0 {
				e.unhinted++
			}
		default:
			e.failed++
		}
	}
	return e
}

// most returns the largest number of attempts that reached a server in a window of a length
// that begins from a time on.
func most(s *standin.Server, window time.Duration, from, to time.Time) int {
	var at []time.Time
	for _, a := range s.State().Arrivals {
		if !a.At.Before(from) && a.At.Before(to) {
			at = append(at, a.At)
		}
	}
	largest, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// arrived counts the attempts that reached a server between two times.
func arrived(s *standin.Server, from, to time.Time) int { return most(s, to.Sub(from), from, to) }

// logArrivals logs how many attempts reached each engine in each second, if the test failed.
func (f *loadFleet) logArrivals(from, to time.Time) {
	if !f.t.Failed() {
		return
	}
	for i, s := range f.engines {
		var text strings.Builder
		for at := from; at.Before(to); at = at.Add(time.Second) {
			fmt.Fprintf(&text, " %d", arrived(s, at, at.Add(time.Second)))
		}
		f.t.Logf("engine %d got, each second:%s", i+1, text.String())
	}
}
