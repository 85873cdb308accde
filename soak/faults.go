package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// fault is one disturbance: begun, and ended a while later.
type fault struct {
	name       string
	begin, end func()
}

// Pauses between faults and their lengths; they overlap.
const (
	leastGap, moreGap       = 300, 1200 // ms
	leastLength, moreLength = 500, 4000 // ms
)

// disturb injects faults drawn from the seed, in series and overlapping, and
// returns what it did.
func (r *run) disturb(ctx context.Context) []string {
	var done []string
	var pending sync.WaitGroup
	began := time.Now()
	for time.Since(began) < r.params.For {
		f := r.draw(ctx)
		length := time.Duration(leastLength+r.random.IntN(moreLength)) * time.Millisecond
		done = append(done, fmt.Sprintf("%5.1fs %s for %s", time.Since(began).Seconds(), f.name, length))
		f.begin()
		pending.Go(func() {
			pause.For(ctx, length)
			f.end()
		})
		if !pause.For(ctx, time.Duration(leastGap+r.random.IntN(moreGap))*time.Millisecond) {
			break
		}
	}
	pending.Wait()
	return done
}

func nothing() {}

// disturbances are what proxies do; mute comes twice, since lost answers break
// most promises.
var disturbances = []mode{delay, silent, deaf, mute, mute, reset}

// draw picks a fault.
func (r *run) draw(ctx context.Context) fault {
	e, s := r.random.IntN(len(r.entries)), r.random.IntN(len(r.servers))
	entry, server, way, door := r.entries[e], r.servers[s], r.ways[e], r.doors[s]
	restart := func(p *process) func() { return func() { _ = p.start() } } // a failed start shows as not coming back
	switch r.random.IntN(14) {
	case 0:
		return fault{"freeze " + entry.name, func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }}
	case 1:
		return fault{"kill " + entry.name, func() { entry.end(syscall.SIGKILL, time.Second) }, restart(entry)}
	case 2:
		return fault{"stop " + entry.name, func() { go entry.end(syscall.SIGTERM, graceTime) }, func() { entry.end(syscall.SIGTERM, graceTime); _ = entry.start() }}
	case 3:
		return fault{"hup " + entry.name, func() { entry.signal(syscall.SIGHUP) }, nothing}
	case 4, 10:
		m := disturbances[r.random.IntN(len(disturbances))]
		return fault{fmt.Sprintf("store of %s mode %d", entry.name, m), func() { way.set(m) }, func() { way.set(pass) }}
	case 5, 11, 12:
		m := disturbances[r.random.IntN(len(disturbances))]
		return fault{fmt.Sprintf("way to %s mode %d", server.name, m), func() { door.set(m) }, func() { door.set(pass) }}
	case 6:
		return fault{"kill " + server.name, func() { r.collect(s); server.end(syscall.SIGKILL, time.Second) }, restart(server)}
	case 7:
		return fault{"store down", func() { r.storeFault("down=true") }, func() { r.storeFault("down=false") }}
	case 8:
		return fault{"store slow", func() { r.storeFault("delay=150ms") }, func() { r.storeFault("delay=0s") }}
	case 9:
		return fault{"store loses answers", func() { r.storeFault("lose=3") }, func() { r.storeFault("lose=0") }}
	default:
		return fault{"configuration", func() { _ = r.configure(ctx) }, nothing} // the store may be away; the next one comes
	}
}

func (r *run) storeFault(query string) {
	resp, err := http.Post("http://"+r.storeAt+"/fault?"+query, "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// heal ends all disturbances.
func (r *run) heal() {
	for _, query := range []string{"down=false", "delay=0s", "lose=0"} {
		r.storeFault(query)
	}
	for _, p := range append(append([]*proxy{}, r.ways...), r.doors...) {
		p.set(pass)
	}
	for _, p := range append(append([]*process{}, r.entries...), r.servers...) {
		p.signal(syscall.SIGCONT)
		_ = p.start()
	}
}
