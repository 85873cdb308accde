package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// The servers of a service state in their answers that they are brittle. From brittleNotice later on they let fewer requests
// wait, and end if they have to reject more than toleratedRejections in a second; they are back after some seconds. More
// requests come meanwhile than they have room for. Servers pause for a second and go on.

const (
	toleratedRejections = 4
	brittleNotice       = 3 * time.Second
	// brittleTime is how long servers are brittle after that.
	brittleTime = 4 * time.Second
	// brittleQueue is how many requests wait at a server then.
	brittleQueue = 2
	// engineSlots and plainSlots are the numbers of requests that servers run concurrently.
	engineSlots, plainSlots = 4, 2
	// brittleModelRate and brittlePlainRate are the requests a second that come while servers are brittle: for one model, or to
	// all servers of a service. That is several times what they have room for.
	brittleModelRate, brittlePlainRate = 60.0, 200.0
	// serverPause is how long a server that pauses is silent.
	serverPause = 1200 * time.Millisecond
)

// slots returns the number of requests that a server runs concurrently.
func (r *run) slots(server int) int {
	if server < r.params.Engines {
		return engineSlots
	}
	return plainSlots
}

// brittleServices records which services are brittle, and how many of their servers ended because of rejections, by period in
// which they are.
type brittleServices struct {
	mu sync.Mutex
	// stated and enforced are whether a service's servers state that they are brittle, and whether they are; guarded by mu.
	stated, enforced map[string]bool
	periods          []brittlePeriod // guarded by mu
}

// brittlePeriod is a time in which a service is brittle.
type brittlePeriod struct {
	service string
	ends    int
}

func newBrittleServices() *brittleServices {
	return &brittleServices{stated: map[string]bool{}, enforced: map[string]bool{}}
}

// set sets whether a service states that it is brittle, and is. A period begins with the first statement.
func (b *brittleServices) set(service string, stated, enforced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stated && !b.stated[service] {
		b.periods = append(b.periods, brittlePeriod{service: service})
	}
	b.stated[service], b.enforced[service] = stated, enforced
}

// state returns whether a service states that it is brittle, and whether it is.
func (b *brittleServices) state(service string) (stated, enforced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stated[service], b.enforced[service]
}

// recordEnd records that a server of a service ended because of rejections.
func (b *brittleServices) recordEnd(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.periods) - 1; i >= 0; i-- {
		if b.periods[i].service == service {
			b.periods[i].ends++
			return
		}
	}
}

// violations checks that in each period at most two servers and a tenth of their number ended. servers are the numbers of
// servers by service.
func (b *brittleServices) violations(servers map[string]int) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []Violation
	for i, p := range b.periods {
		if n := servers[p.service]; 10*p.ends > 20+n {
			found = append(found, Violation{"brittle servers are spared", fmt.Sprintf("%d of %d servers of %s ended in period %d", p.ends, n, p.service, i+1)})
		}
	}
	return found
}

// serversByService returns the number of servers of each service.
func (r *run) serversByService() map[string]int {
	n := map[string]int{}
	for i := range r.params.Engines + r.params.PlainServers {
		n[r.serverService(i)]++
	}
	return n
}

// brittleArgs returns the arguments of a server that starts while its service is brittle.
func (r *run) brittleArgs(server int) []string {
	args := []string{"--slots", strconv.Itoa(r.slots(server)), "--brittle-queue", strconv.Itoa(brittleQueue)}
	stated, enforced := r.brittle.state(r.serverService(server))
	if stated {
		args = append(args, "--states-brittle", strconv.Itoa(toleratedRejections))
	}
	if enforced {
		args = append(args, "--brittle")
	}
	return args
}

// brittleFault makes all servers of a service brittle for a while.
func (r *run) brittleFault(ctx context.Context) fault {
	service := services[r.random.IntN(len(services))]
	random := rand.New(rand.NewPCG(r.random.Uint64(), 1))
	set := func(stated, enforced bool) {
		r.brittle.set(service, stated, enforced)
		said := standin.Backpressure{}
		if stated {
			said.Brittle = strconv.Itoa(toleratedRejections)
		}
		for i := range r.servers {
			if r.serverService(i) == service {
				r.setBackpressure(i, said)
				r.setBrittle(i, enforced)
			}
		}
	}
	return fault{service + " is brittle", func() {
		r.disturbances.begin(service)
		set(true, false)
	}, func() {
		if pause.For(ctx, brittleNotice) {
			set(true, true)
			r.overload(ctx, service, random)
		}
		set(false, false)
		r.disturbances.end(service)
	}}
}

// overload sends more requests to a service than it has room for, for brittleTime.
func (r *run) overload(ctx context.Context, service string, random *rand.Rand) {
	var requests sync.WaitGroup
	defer requests.Wait()
	route, model, rate := "safe", "", brittlePlainRate
	switch service {
	case sideService:
		route = "keep"
	case engineService:
		route, model, rate = "stream", models[random.IntN(len(models))], brittleModelRate
	}
	name := fmt.Sprintf("brittle-%d", random.Uint64())
	for n, begun := 0, time.Now(); time.Since(begun) < brittleTime; n++ {
		req := clientRequest{id: fmt.Sprintf("%s-%d", name, n), route: route, model: model, payload: fmt.Sprintf("%s %d", name, n)}
		entry := random.IntN(len(r.entries))
		requests.Go(func() {
			r.sendTo(entry, &req)
			r.history.addRequest(req)
		})
		if !pause.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) {
			return
		}
	}
}

// pauseFault makes a server silent for a second. That is no fault of its service.
func (r *run) pauseFault(server int) fault {
	p := r.servers[server]
	return fault{"pause of " + p.name, func() {
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(serverPause, func() { p.signal(syscall.SIGCONT) })
	}, noop}
}
