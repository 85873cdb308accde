package soak

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// Engines state in their answers that they are brittle, and end from brittleNotice later on if they have to reject more
// than toleratedRejections in a second for lack of room. Servers pause for a second and go on.

const (
	toleratedRejections = 4
	brittleNotice       = 3 * time.Second
	// brittleTime is how long engines are brittle after that.
	brittleTime = 4 * time.Second
	// serverPause is how long a server that pauses is silent.
	serverPause = 1200 * time.Millisecond
)

// rejectionEnds counts the engines that ended because of rejections, by period in which engines are brittle.
type rejectionEnds struct {
	mu   sync.Mutex
	ends []int // guarded by mu
}

// begin begins a period.
func (f *rejectionEnds) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, 0)
}

// record records that an engine ended because of rejections.
func (f *rejectionEnds) record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends) > 0 {
		f.ends[len(f.ends)-1]++
	}
}

// violations checks that in each period at most two engines and a tenth of their number ended.
func (f *rejectionEnds) violations(engines int) []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []Violation
	for period, n := range f.ends {
		if 10*n > 20+engines {
			found = append(found, Violation{"brittle engines are spared", fmt.Sprintf("%d of %d ended in period %d", n, engines, period+1)})
		}
	}
	return found
}

// brittleFault makes all engines brittle for a while.
func (r *run) brittleFault(ctx context.Context) fault {
	set := func(b standin.Backpressure, enforced bool) {
		for i := range r.params.Engines {
			r.setBackpressure(i, b)
			r.setBrittle(i, enforced)
		}
	}
	return fault{"engines are brittle", func() {
		r.disturbances.begin(engineService)
		r.ends.begin()
		set(standin.Backpressure{Brittle: strconv.Itoa(toleratedRejections)}, false)
	}, func() {
		if pause.For(ctx, brittleNotice) {
			set(standin.Backpressure{Brittle: strconv.Itoa(toleratedRejections)}, true)
			pause.For(ctx, brittleTime)
		}
		set(standin.Backpressure{}, false)
		r.disturbances.end(engineService)
	}}
}

// pauseFault makes a server silent for a second. That is no fault of its service.
func (r *run) pauseFault(server int) fault {
	p := r.servers[server]
	return fault{"pause of " + p.name, func() {
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(serverPause, func() { p.signal(syscall.SIGCONT) })
	}, noop}
}
