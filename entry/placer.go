package entry

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// RecordArrival implements forward.Placer.
func (f *follower) RecordArrival(unit serving.Unit, demand forward.Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic.recordArrival(unit.Model, demand)
	a := f.arrivalsFor(unit.Model)
	if demand.Deferrable {
		a.Deferrable++
	}
	if demand.Returned {
		return
	}
	a.Count++
	weight := serving.Weight(max(0, demand.Priority))
	a.Weight += weight
	a.Late += weight * demand.LateProbability
}

// arrivalsFor returns the arrivals of requests for a model since the last report. f.mu must be held.
func (f *follower) arrivalsFor(model string) *holder.Arrivals {
	a := f.arrivals[model]
	if a == nil {
		a = &holder.Arrivals{Model: model}
		f.arrivals[model] = a
	}
	return a
}

// waitingRequest is a request that waits for a model.
type waitingRequest struct {
	weight float64
	// onTimeUntil is the latest time at which a load can begin for the request to be answered within
	// its objective.
	onTimeUntil time.Time
	// expires is when the client gives up.
	expires time.Time
}

// RegisterWait implements forward.Placer.
func (f *follower) RegisterWait(unit serving.Unit, priority int, onTimeUntil, expires time.Time) func() {
	w := &waitingRequest{weight: replicas.BoundWeight(serving.Weight(priority)), onTimeUntil: onTimeUntil, expires: expires}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting[unit.Model] == nil {
		f.waiting[unit.Model] = map[*waitingRequest]struct{}{}
	}
	f.waiting[unit.Model][w] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.waiting[unit.Model], w)
		if len(f.waiting[unit.Model]) == 0 {
			delete(f.waiting, unit.Model)
		}
	}
}

// waitingFor returns the requests that wait for a model at this instance. f.mu must be held.
func (f *follower) waitingFor(model string, now time.Time) replicas.Waiting {
	waiting := replicas.Waiting{Instance: f.name}
	slack := make([]replicas.Slack, 0, len(f.waiting[model]))
	for w := range f.waiting[model] {
		waiting.Left = max(waiting.Left, w.expires.Sub(now))
		slack = append(slack, replicas.Slack{Weight: w.weight, Start: w.onTimeUntil.Sub(now), Left: w.expires.Sub(now)})
		if now.Before(w.onTimeUntil) {
			waiting.OnTime += w.weight
		} else {
			waiting.Late += w.weight
		}
	}
	waiting.Slack = replicas.GroupSlack(slack)
	return waiting
}

// RegisterRun implements forward.Placer.
func (f *follower) RegisterRun(r forward.Run) func(answered bool) {
	if r.SoleReplica {
		f.reportUse(r.Engine, r.Unit)
	}
	key := unitOnEngine{r.Engine, r.Unit}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[key]++
	started := clock.Now()
	return func(answered bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[key]--
		if f.running[key] == 0 {
			delete(f.running, key)
			f.wakeRunWaits(copyOnEngine{r.Engine, r.Unit.Model})
		}
		if answered && r.Deferrable {
			f.arrivalsFor(r.Unit.Model).Served++
		}
		if answered {
			f.traffic.recordAnswer(r, clock.Since(started))
		}
	}
}

// knownInstances returns the number of instances that report to the holder, including this one.
func (f *follower) knownInstances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// reportedInstances returns the number of instances that a holder last reported, 0 if none has yet. It takes no lock.
func (f *follower) reportedInstances() int { return int(f.reported.Load()) }

// cachedPlace is the holder's answer to a request for a place.
type cachedPlace struct {
	place forward.Place
	err   error
	at    time.Time
}

// placeLifetime is how long an answer is reused for other requests that need the same unit, so that a
// burst for one model asks the holder once.
const placeLifetime = 60 * time.Millisecond

// RequestPlace implements forward.Placer.
func (f *follower) RequestPlace(ctx context.Context, r forward.PlaceRequest) (forward.Place, error) {
	now := clock.Now()
	f.mu.Lock()
	known, found := f.cachedPlaces[r]
	f.mu.Unlock()
	if found && now.Sub(known.at) < placeLifetime {
		return known.place, known.err
	}
	place, err := f.queryPlace(ctx, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.cachedPlaces, func(_ forward.PlaceRequest, p cachedPlace) bool { return now.Sub(p.at) >= placeLifetime })
	if ctx.Err() == nil {
		f.cachedPlaces[r] = cachedPlace{place: place, err: err, at: clock.Now()}
	}
	return place, err
}

// expectedTakeover returns how long it is expected to take until there is again a holder that orders
// loads. unanswered is the time since the previous holder's last answer; its last renewal is older
// than that.
func (f *follower) expectedTakeover(record lease.Record, unanswered time.Duration) time.Duration {
	if record.Released {
		return takeoverSpread / 2
	}
	return max(suspectAfter+takeoverSpread/2, f.holder.TakeOverDelay()) - min(unanswered, suspectAfter+takeoverSpread/2)
}

// queryPlace asks the holder where a unit is or will be loaded.
func (f *follower) queryPlace(ctx context.Context, r forward.PlaceRequest) (forward.Place, error) {
	f.mu.Lock()
	record, unanswered := f.record, clock.Since(f.lastAnswer)
	waiting := f.waitingFor(r.Unit.Model, clock.Now())
	f.mu.Unlock()
	if unanswered > holderTimeout || record.Released {
		return forward.Place{Ready: clock.Now().Add(f.expectedTakeover(record, unanswered)), Cause: serving.WaitHolder}, forward.ErrNoHolder
	}
	var reply WantReply
	args := &WantArgs{holder.Request{
		Service: r.Service, Unit: r.Unit, Version: r.Version, Waiting: waiting, Missing: r.Missing, Unreachable: r.Unreachable,
		HeldBack: f.limiter.heldBack(r.Service, r.Unit, clock.Now()),
	}}
	if err := f.call(ctx, record, callTimeout, methodWant, args, &reply); err != nil {
		return forward.Place{Ready: clock.Now().Add(exchangeRetry), Cause: serving.WaitHolder}, errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	ready := clock.Now().Add(time.Duration(reply.InMS) * time.Millisecond)
	switch {
	case !reply.Held:
		return forward.Place{Ready: clock.Now().Add(holderTimeout), Cause: serving.WaitHolder}, forward.ErrNoHolder
	case !reply.Found:
		return forward.Place{Ready: ready, Cause: serving.WaitEngine}, forward.ErrNoRoom
	}
	return forward.Place{Engine: reply.Engine, Ready: ready, Cause: reply.For}, nil
}
