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

// Arrived implements forward.Placer.
func (f *follower) Arrived(unit serving.Unit, urgency forward.Urgency) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.arrivalsOf(unit.Model)
	a.Count++
	if urgency.Deferrable {
		a.Deferrable++
	}
	a.Weight += serving.Weight(urgency.Priority)
	a.Late += serving.Weight(urgency.Priority) * urgency.Late
}

// arrivalsOf needs mu. It returns what is reported next of the requests for a model.
func (f *follower) arrivalsOf(model string) *holder.Arrivals {
	a := f.arrivals[model]
	if a == nil {
		a = &holder.Arrivals{Model: model}
		f.arrivals[model] = a
	}
	return a
}

// waiter is a request that waits for a model.
type waiter struct {
	weight float64
	// onTime is until when a load that begins leads to an answer within the
	// request's objective.
	onTime time.Time
	// leaves is when its client leaves.
	leaves time.Time
}

// Waits implements forward.Placer.
func (f *follower) Waits(unit serving.Unit, priority int, onTime, leaves time.Time) func() {
	w := &waiter{weight: serving.Weight(priority), onTime: onTime, leaves: leaves}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting[unit.Model] == nil {
		f.waiting[unit.Model] = map[*waiter]struct{}{}
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

// waitingFor needs mu. It returns what waits for a model here.
func (f *follower) waitingFor(model string, now time.Time) replicas.Waiting {
	waiting := replicas.Waiting{Instance: f.name}
	for w := range f.waiting[model] {
		waiting.Left = max(waiting.Left, w.leaves.Sub(now))
		if now.Before(w.onTime) {
			waiting.OnTime += w.weight
		} else {
			waiting.Late += w.weight
		}
	}
	return waiting
}

// Started implements forward.Placer.
func (f *follower) Started(r forward.Run) func(answered bool) {
	if r.Only {
		f.tellUse(r.Engine, r.Unit)
	}
	key := placed{r.Engine, r.Unit}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[key]++
	return func(answered bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[key]--
		if f.running[key] == 0 {
			delete(f.running, key)
		}
		if answered && r.Deferrable {
			f.arrivalsOf(r.Unit.Model).Served++
		}
	}
}

// knownInstances is how many instances the holder hears from, this one included.
func (f *follower) knownInstances() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// knownPlace is an answer to a question for a place.
type knownPlace struct {
	place forward.Place
	err   error
	at    time.Time
}

// placeLifetime is how long an answer is taken for other requests that need the
// same: a burst for one model asks the holder once.
const placeLifetime = 60 * time.Millisecond

// Want implements forward.Placer.
func (f *follower) Want(ctx context.Context, w forward.Wanted) (forward.Place, error) {
	now := clock.Now()
	f.mu.Lock()
	known, found := f.places[w]
	f.mu.Unlock()
	if found && now.Sub(known.at) < placeLifetime {
		return known.place, known.err
	}
	place, err := f.ask(ctx, w)
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.places, func(_ forward.Wanted, p knownPlace) bool { return now.Sub(p.at) >= placeLifetime })
	if ctx.Err() == nil {
		f.places[w] = knownPlace{place: place, err: err, at: clock.Now()}
	}
	return place, err
}

// succession is how long it is expected to take until there is a holder again that orders
// loads, after silence of the one before, whose last renewal is older than that.
func (f *follower) succession(record lease.Record, silence time.Duration) time.Duration {
	if record.Released {
		return takeOverSpread / 2
	}
	return max(suspectAfter+takeOverSpread/2, f.holder.SuccessionTime()) - min(silence, suspectAfter+takeOverSpread/2)
}

// ask asks the holder where a unit is or will be.
func (f *follower) ask(ctx context.Context, w forward.Wanted) (forward.Place, error) {
	f.mu.Lock()
	record, silence := f.record, clock.Since(f.answered)
	waiting := f.waitingFor(w.Unit.Model, clock.Now())
	f.mu.Unlock()
	if silence > silentAfter || record.Released {
		return forward.Place{Ready: clock.Now().Add(f.succession(record, silence)), For: serving.WaitHolder}, forward.ErrNoHolder
	}
	var reply WantReply
	args := &WantArgs{holder.Request{
		Service: w.Service, Unit: w.Unit, Waiting: waiting, Missing: w.Missing, Unreachable: w.Unreachable,
		HeldBack: f.intake.heldBack(w.Service, w.Unit, clock.Now()),
	}}
	if err := f.call(ctx, record, wantTimeout, methodWant, args, &reply); err != nil {
		return forward.Place{Ready: clock.Now().Add(exchangeRetry), For: serving.WaitHolder}, errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	ready := clock.Now().Add(time.Duration(reply.InMS) * time.Millisecond)
	switch {
	case !reply.Held:
		return forward.Place{Ready: clock.Now().Add(silentAfter), For: serving.WaitHolder}, forward.ErrNoHolder
	case !reply.Found:
		return forward.Place{Ready: ready, For: serving.WaitEngine}, forward.ErrNoRoom
	}
	return forward.Place{Engine: reply.Engine, Ready: ready, For: reply.For}, nil
}
