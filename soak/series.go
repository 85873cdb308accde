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

// drawGaps draws n durations between least and most.
func (r *run) drawGaps(n int, least, most time.Duration) []time.Duration {
	drawn := make([]time.Duration, n)
	for i := range drawn {
		drawn[i] = least + time.Duration(r.random.Int64N(int64(most-least)))
	}
	return drawn
}

// seriesFault returns a fault that consists of several steps with a gap after each. Its end function waits for the
// last step and then calls after.
func seriesFault(ctx context.Context, name string, gaps []time.Duration, step func(i int), after func()) fault {
	var wg sync.WaitGroup
	return fault{
		name: fmt.Sprintf("%s, %d steps", name, len(gaps)),
		begin: func() {
			wg.Go(func() {
				for i, gap := range gaps {
					step(i)
					if !pause.For(ctx, gap) {
						return
					}
				}
			})
		},
		end: func() {
			wg.Wait()
			after()
		},
	}
}

// killAll kills and restarts all entry instances three or four times within ten seconds while all servers of a
// service fail their requests. It tests that the budget of repeated sends, which all instances share, survives
// their restarts.
func (r *run) killAll(ctx context.Context, service string) fault {
	times := 3 + r.random.IntN(2)
	gaps := r.drawGaps(times, time.Second, 1500*time.Millisecond)
	step := func(int) {
		r.setFailing(service, true)
		pause.For(ctx, failBeforeKill)
		var wg sync.WaitGroup
		for _, p := range r.entries {
			wg.Go(func() {
				p.stop(syscall.SIGKILL, time.Second)
				_ = p.start() // a failed start shows up in the recovery checks
			})
		}
		wg.Wait()
	}
	return seriesFault(ctx, service+" fails, all instances killed", gaps, step, func() { r.setFailing(service, false) })
}

// failBeforeKill is how long servers fail before the instances are killed: long enough for the instances to use up
// their budget of repeated sends.
const failBeforeKill = time.Second

// failAll makes all servers of a service fail their requests.
func (r *run) failAll(service string) fault {
	return fault{service + " fails", func() { r.setFailing(service, true) }, func() { r.setFailing(service, false) }}
}

// varyIdleTimeout repeatedly raises and lowers the idle timeout. At each change all clients that reuse connections
// send a request, including those that have been idle for longer than the lowered timeout.
func (r *run) varyIdleTimeout(ctx context.Context) fault {
	times := 2 * (3 + r.random.IntN(2))
	low, high := r.drawGaps(times, 500*time.Millisecond, 800*time.Millisecond), r.drawGaps(times, 1200*time.Millisecond, 1800*time.Millisecond)
	for i := 0; i < times; i += 2 {
		low[i] = high[i]
	}
	step := func(i int) {
		idle := longIdle
		if i%2 == 1 {
			idle = shortIdle
		}
		_ = r.writeConfigWithIdle(ctx, idle) // if the store is unavailable, a later fault writes the next one
		r.waker.wake()
	}
	return seriesFault(ctx, "idle limit raised and lowered", low, step, func() { _ = r.writeConfigWithIdle(ctx, longIdle) })
}

// rollingRestart stops and restarts the instances one after the other, without waiting for one to exit before
// stopping the next.
func (r *run) rollingRestart(ctx context.Context) fault {
	var ending sync.WaitGroup
	step := func(i int) {
		p := r.entries[i%len(r.entries)]
		ending.Go(func() {
			p.stop(syscall.SIGTERM, gracePeriod)
			_ = p.start()
		})
	}
	return seriesFault(ctx, "instances stopped in turn", r.drawGaps(min(len(r.entries), 4), 300*time.Millisecond, 1500*time.Millisecond), step, ending.Wait)
}

// reloadsAndConfigs alternates between SIGHUP to an instance and a new configuration.
func (r *run) reloadsAndConfigs(ctx context.Context) fault {
	first := r.random.IntN(len(r.entries))
	step := func(i int) {
		if i%2 == 0 {
			r.entries[(first+i/2)%len(r.entries)].signal(syscall.SIGHUP)
			return
		}
		_ = r.writeConfig(ctx)
		r.waker.wake()
	}
	return seriesFault(ctx, "reloads and configurations", r.drawGaps(6, 100*time.Millisecond, 700*time.Millisecond), step, noop)
}

// setFailing makes the servers of a service fail their requests or succeed again. A server that starts later does
// not fail.
func (r *run) setFailing(service string, failing bool) {
	client := http.Client{Timeout: time.Second}
	for i, address := range r.serverAddresses {
		if r.serverService(i) != service {
			continue
		}
		resp, err := client.Post(fmt.Sprintf("http://%s%s?failing=%v", address, standin.PathFault, failing), "", nil)
		if err == nil { // a server that does not answer fails its requests anyway
			_ = resp.Body.Close()
		}
	}
}
