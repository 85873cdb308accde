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
	certain, storeFrom := r.certain(ctx), r.storeFrom()
	for time.Since(began) < r.params.For {
		var f fault
		if len(certain) > 0 && time.Since(began) >= certain[0].at {
			f, certain = certain[0].fault, certain[1:]
		} else {
			f = r.draw(ctx, time.Since(began) >= storeFrom)
		}
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

// timed is a fault that comes at a time after the beginning.
type timed struct {
	at time.Duration
	fault
}

// certain are the faults of each run: kept connections under a changing idle limit, a request
// that ends engines, a server that says something of itself, a failing service while all
// instances are killed, and a store that comes back from a copy.
func (r *run) certain(ctx context.Context) []timed {
	return []timed{{0, r.lowerIdle(ctx)}, {r.params.For / 10, r.poisonFault(ctx)}, {r.params.For / 5, r.sayFault(ctx, r.random.IntN(len(r.servers)))}, {r.params.For * 2 / 5, r.killAll(ctx, plain)}, {r.params.For * 4 / 5, r.drill(ctx)}}
}

// disturbances are what proxies do; mute comes twice, since lost answers break
// most promises.
var disturbances = []mode{delay, silent, deaf, mute, mute, reset}

// storeFrom is when the store itself may first fail. An instance that is killed then
// serves nothing until the store is back, and sends nothing again: in half of the runs
// the store is well during the certain faults.
func (r *run) storeFrom() time.Duration {
	if r.random.IntN(2) == 0 {
		return 0
	}
	return r.params.For * 4 / 5
}

// draw picks a fault; one of the store only if it may fail.
func (r *run) draw(ctx context.Context, store bool) fault {
	e, s, service := r.random.IntN(len(r.entries)), r.random.IntN(len(r.servers)), services[r.random.IntN(len(services))]
	entry, server, way, door := r.entries[e], r.servers[s], r.ways[e], r.doors[s]
	restart := func(p *process) func() { return func() { _ = p.start() } } // a failed start shows as not coming back
	kind := r.random.IntN(23)
	if storeKinds := kind >= 7 && kind <= 9; storeKinds && !store {
		kind = 13
	}
	switch kind {
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
		return fault{fmt.Sprintf("way to %s mode %d", server.name, m), r.begins(s, func() { door.set(m) }), r.ends(s, func() { door.set(pass) })}
	case 6:
		return fault{"kill " + server.name, r.begins(s, func() { r.collect(s); server.end(syscall.SIGKILL, time.Second) }), r.ends(s, restart(server))}
	case 7:
		return fault{"store down", func() { r.storeFault("down=true") }, func() { r.storeFault("down=false") }}
	case 8:
		return fault{"store slow", func() { r.storeFault("delay=150ms") }, func() { r.storeFault("delay=0s") }}
	case 9:
		return fault{"store loses answers", func() { r.storeFault("lose=3") }, func() { r.storeFault("lose=0") }}
	case 14:
		return r.rollAll(ctx)
	case 15:
		return r.failAll(service)
	case 16:
		return r.lowerIdle(ctx)
	case 17:
		return r.signalsAndChanges(ctx)
	case 18:
		return r.killAll(ctx, service)
	case 19:
		return r.poisonFault(ctx)
	case 20, 21, 22:
		return r.sayFault(ctx, s)
	default:
		return fault{"configuration", func() { _ = r.configure(ctx) }, nothing} // the store may be away; the next one comes
	}
}

// begins and ends mark the service of a server as disturbed while do lasts.
func (r *run) begins(server int, do func()) func() {
	return func() {
		r.troubles.begin(r.serviceAt(server))
		do()
	}
}

func (r *run) ends(server int, do func()) func() {
	return func() {
		do()
		r.troubles.end(r.serviceAt(server))
	}
}

func (r *run) storeFault(query string) {
	r.storeCalm.note(query, time.Now())
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
	for _, service := range services {
		r.fail(service, false)
	}
	for i := range r.servers {
		r.say(i, standin.Words{})
	}
	for _, p := range append(append([]*proxy{}, r.ways...), r.doors...) {
		p.set(pass)
	}
	for _, p := range append(append([]*process{}, r.entries...), r.servers...) {
		p.signal(syscall.SIGCONT)
		_ = p.start()
	}
}
