package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// fault is a fault: its description for the report of the run, and the functions that begin and end it.
type fault struct {
	name       string
	begin, end func()
}

// The time between the starts of two faults and the duration of a fault are drawn uniformly from a minimum and a spread
// above it. Faults may overlap.
const (
	minGapMS, gapSpreadMS       = 300, 1200 // ms
	minLengthMS, lengthSpreadMS = 500, 4000 // ms
)

// injectFaults injects the scheduled faults and, in between, faults drawn from the seed. It returns their descriptions
// once all of them have ended.
func (r *run) injectFaults(ctx context.Context) []string {
	var injected []string
	var pending sync.WaitGroup
	began := time.Now()
	var endless, garbage, crowds []string
	pending.Go(func() { endless = r.injectEndlessFaults(ctx) })
	pending.Go(func() { garbage = r.injectGarbage(ctx) })
	pending.Go(func() { crowds = r.injectCrowds(ctx) })
	scheduled, storeFaultsFrom := r.scheduledFaults(ctx), r.storeFaultsFrom()
	for time.Since(began) < r.params.FaultDuration {
		var f fault
		if len(scheduled) > 0 && time.Since(began) >= scheduled[0].at {
			f, scheduled = scheduled[0].fault, scheduled[1:]
		} else {
			f = r.drawFault(ctx, time.Since(began) >= storeFaultsFrom)
		}
		length := time.Duration(minLengthMS+r.random.IntN(lengthSpreadMS)) * time.Millisecond
		injected = append(injected, fmt.Sprintf("%5.1fs %s for %s", time.Since(began).Seconds(), f.name, length))
		f.begin()
		pending.Go(func() {
			pause.For(ctx, length)
			f.end()
		})
		if !pause.For(ctx, time.Duration(minGapMS+r.random.IntN(gapSpreadMS))*time.Millisecond) {
			break
		}
	}
	pending.Wait()
	return slices.Concat(injected, endless, garbage, crowds)
}

func noop() {}

// scheduledFault is a fault at a fixed time after the beginning of the injection.
type scheduledFault struct {
	at time.Duration
	fault
}

// scheduledFaults returns the faults of every run: reused connections under a changing idle timeout, a poison
// request, a server that sends backpressure or announces that it is leaving, a failing service while all instances are
// killed repeatedly, newer engines while all instances are killed, a service whose servers are brittle, and a restore of
// the store from a backup.
func (r *run) scheduledFaults(ctx context.Context) []scheduledFault {
	return []scheduledFault{{0, r.varyIdleTimeout(ctx)}, {r.params.FaultDuration / 10, r.poisonFault(ctx)}, {r.params.FaultDuration / 5, r.backpressureFault(ctx, r.random.IntN(len(r.servers)))}, {r.params.FaultDuration * 2 / 5, r.killAll(ctx, mainService)}, {r.params.FaultDuration / 2, r.releaseFault(ctx)}, {r.params.FaultDuration * 3 / 5, r.brittleFault(ctx)}, {r.params.FaultDuration * 4 / 5, r.restoreFault(ctx)}}
}

// proxyModes are the modes that faults draw from. blockFromTarget is listed twice, since lost answers put most
// guarantees at risk.
var proxyModes = []mode{delayChunks, blockBoth, blockToTarget, blockFromTarget, blockFromTarget, resetConns}

// storeFaultsFrom returns the time from which the store itself may fail. An instance that is killed while the
// store fails serves no requests until the store is back, so it does not repeat any either. In half of the runs
// the store therefore fails only in the last fifth, so that instances repeat requests during most scheduled faults.
func (r *run) storeFaultsFrom() time.Duration {
	if r.random.IntN(2) == 0 {
		return 0
	}
	return r.params.FaultDuration * 4 / 5
}

// drawFault draws a fault. Faults of the store are only returned if storeAllowed is true.
func (r *run) drawFault(ctx context.Context, storeAllowed bool) fault {
	e, s, service := r.random.IntN(len(r.entries)), r.random.IntN(len(r.servers)), services[r.random.IntN(len(services))]
	entry, server, storeProxy, serverProxy := r.entries[e], r.servers[s], r.storeProxies[e], r.serverProxies[s]
	restart := func(p *process) func() { return func() { _ = p.start() } } // a failed start shows up in the recovery checks
	kind := r.random.IntN(28)
	if storeKinds := kind >= 7 && kind <= 9; storeKinds && !storeAllowed {
		kind = 13
	}
	switch kind {
	case 0:
		return fault{"freeze " + entry.name, func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }}
	case 1:
		return fault{"kill " + entry.name, func() { entry.stop(syscall.SIGKILL, time.Second) }, restart(entry)}
	case 2:
		return fault{"stop " + entry.name, func() { go entry.stop(syscall.SIGTERM, gracePeriod) }, func() { entry.stop(syscall.SIGTERM, gracePeriod); _ = entry.start() }}
	case 3:
		return fault{"hup " + entry.name, func() { entry.signal(syscall.SIGHUP) }, noop}
	case 4, 10:
		m := proxyModes[r.random.IntN(len(proxyModes))]
		return fault{fmt.Sprintf("store of %s mode %d", entry.name, m), func() { storeProxy.setMode(m) }, func() { storeProxy.setMode(passAll) }}
	case 5, 11, 12:
		m := proxyModes[r.random.IntN(len(proxyModes))]
		return fault{fmt.Sprintf("way to %s mode %d", server.name, m), r.beginDisturbance(s, func() { serverProxy.setMode(m) }), r.endDisturbance(s, func() { serverProxy.setMode(passAll) })}
	case 6:
		return fault{"kill " + server.name, r.beginDisturbance(s, func() { r.collectState(s); server.stop(syscall.SIGKILL, time.Second) }), r.endDisturbance(s, restart(server))}
	case 7:
		return fault{"store down", func() { r.setStoreFault("down=true") }, func() { r.setStoreFault("down=false") }}
	case 8:
		return fault{"store slow", func() { r.setStoreFault("delay=150ms") }, func() { r.setStoreFault("delay=0s") }}
	case 9:
		return fault{"store loses answers", func() { r.setStoreFault("lose=3") }, func() { r.setStoreFault("lose=0") }}
	case 14:
		return r.rollingRestart(ctx)
	case 15:
		return r.failAll(service)
	case 16:
		return r.varyIdleTimeout(ctx)
	case 17:
		return r.reloadsAndConfigs(ctx)
	case 18:
		return r.killAll(ctx, service)
	case 19:
		return r.poisonFault(ctx)
	case 20, 21, 22:
		return r.backpressureFault(ctx, s)
	case 23:
		return r.brittleFault(ctx)
	case 24:
		return r.pauseFault(s)
	case 25, 26:
		return r.partFault(ctx)
	case 27:
		return r.concentrateFault(e)
	default:
		return fault{"configuration", func() { _ = r.writeConfig(ctx) }, noop} // if the store is unavailable, a later fault writes the next one
	}
}

// beginDisturbance returns a function that marks the service of a server as disturbed and then calls do. The
// function that endDisturbance returns calls do and then removes the mark.
func (r *run) beginDisturbance(server int, do func()) func() {
	return func() {
		r.disturbances.begin(r.serverService(server))
		do()
	}
}

func (r *run) endDisturbance(server int, do func()) func() {
	return func() {
		do()
		r.disturbances.end(r.serverService(server))
	}
}

// setStoreFault sets a fault of the store, as NAME=VALUE, and records it. A store that cannot be reached ignores it.
func (r *run) setStoreFault(query string) {
	r.storeFaults.record(query, time.Now())
	resp, err := http.Post("http://"+r.storeAddress+"/fault?"+query, "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// endAllFaults ends all faults and starts the processes that do not run.
func (r *run) endAllFaults() {
	for _, query := range []string{"down=false", "delay=0s", "lose=0"} {
		r.setStoreFault(query)
	}
	for _, service := range services {
		r.setFailing(service, false)
	}
	for i := range r.servers {
		r.setBackpressure(i, standin.Backpressure{})
		r.setBrittle(i, false)
		r.setEndless(i, "")
		r.setGarbage(i, standin.GarbageFault{})
	}
	for _, p := range append(append([]*proxy{}, r.storeProxies...), r.serverProxies...) {
		p.setMode(passAll)
	}
	for _, p := range append(append([]*process{}, r.entries...), r.servers...) {
		p.signal(syscall.SIGCONT)
		_ = p.start()
	}
}
