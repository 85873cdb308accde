package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// gaps draws n lengths of time between two bounds.
func (r *run) gaps(n int, least, most time.Duration) []time.Duration {
	drawn := make([]time.Duration, n)
	for i := range drawn {
		drawn[i] = least + time.Duration(r.random.Int64N(int64(most-least)))
	}
	return drawn
}

// series is a fault that takes steps with gaps after them, beside other faults. Its
// end waits for the last step and cleans up.
func series(ctx context.Context, name string, gaps []time.Duration, step func(i int), after func()) fault {
	var work sync.WaitGroup
	return fault{
		name: fmt.Sprintf("%s, %d steps", name, len(gaps)),
		begin: func() {
			work.Go(func() {
				for i, gap := range gaps {
					step(i)
					if !pause.For(ctx, gap) {
						return
					}
				}
			})
		},
		end: func() {
			work.Wait()
			after()
		},
	}
}

// killAll kills all entry instances three or four times within ten seconds and
// starts them again, while all servers of a service fail what they are asked: what
// instances remember of it, and a bound over all of them rests on, is put to the
// test.
func (r *run) killAll(ctx context.Context, service string) fault {
	times := 3 + r.random.IntN(2)
	gaps := r.gaps(times, time.Second, 1500*time.Millisecond)
	step := func(int) {
		r.fail(service, true)
		pause.For(ctx, killNotice)
		var work sync.WaitGroup
		for _, p := range r.entries {
			work.Go(func() {
				p.end(syscall.SIGKILL, time.Second)
				_ = p.start() // a failed start shows as not coming back
			})
		}
		work.Wait()
	}
	return series(ctx, service+" fails, all instances killed", gaps, step, func() { r.fail(service, false) })
}

// killNotice is how long servers fail at least before the instances are killed: long
// enough that these spend what they may send again.
const killNotice = time.Second

// failAll has all servers of a service fail their requests.
func (r *run) failAll(service string) fault {
	return fault{service + " fails", func() { r.fail(service, true) }, func() { r.fail(service, false) }}
}

// lowerIdle lowers the idle limit and raises it again, some times over. With each
// change all clients that keep connections send, those that are idle for longer than
// the lowered limit too.
func (r *run) lowerIdle(ctx context.Context) fault {
	times := 2 * (3 + r.random.IntN(2))
	low, high := r.gaps(times, 500*time.Millisecond, 800*time.Millisecond), r.gaps(times, 1200*time.Millisecond, 1800*time.Millisecond)
	for i := 0; i < times; i += 2 {
		low[i] = high[i]
	}
	step := func(i int) {
		idle := longIdle
		if i%2 == 1 {
			idle = shortIdle
		}
		_ = r.configureIdle(ctx, idle) // the store may be away; the next one comes
		r.herd.wake()
	}
	return series(ctx, "idle limit raised and lowered", low, step, func() { _ = r.configureIdle(ctx, longIdle) })
}

// rollAll stops the instances one after the other and starts each again, the next
// while the last still ends.
func (r *run) rollAll(ctx context.Context) fault {
	var ending sync.WaitGroup
	step := func(i int) {
		p := r.entries[i%len(r.entries)]
		ending.Go(func() {
			p.end(syscall.SIGTERM, graceTime)
			_ = p.start()
		})
	}
	return series(ctx, "instances stopped in turn", r.gaps(min(len(r.entries), 4), 300*time.Millisecond, 1500*time.Millisecond), step, ending.Wait)
}

// signalsAndChanges mixes reloads and configurations.
func (r *run) signalsAndChanges(ctx context.Context) fault {
	first := r.random.IntN(len(r.entries))
	step := func(i int) {
		if i%2 == 0 {
			r.entries[(first+i/2)%len(r.entries)].signal(syscall.SIGHUP)
			return
		}
		_ = r.configure(ctx)
		r.herd.wake()
	}
	return series(ctx, "reloads and configurations", r.gaps(6, 100*time.Millisecond, 700*time.Millisecond), step, nothing)
}

// fail begins or ends that the servers of a service fail; one that starts meanwhile
// does not.
func (r *run) fail(service string, failing bool) {
	client := http.Client{Timeout: time.Second}
	for i, address := range r.addr {
		if r.serviceAt(i) != service {
			continue
		}
		resp, err := client.Post(fmt.Sprintf("http://%s%s?failing=%v", address, standin.PathFault, failing), "", nil)
		if err == nil { // one that does not answer fails anyway
			_ = resp.Body.Close()
		}
	}
}
