// Package forward takes a request to a backend server and the answer back.
//
// A request is sent again only where that is harmless: if it has not run, by
// the verdict of the send or the server's own word, or if its route says that
// it may run again. Repeated sends are drawn from a budget that all instances
// share. Where the model that a request needs is not loaded, the forwarder
// asks for it, and then waits, or refuses at once and says when to come back if
// the load will be done too late for the client.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Errors of a Placer.
var (
	// ErrNoHolder: no instance can be reached that loads models.
	ErrNoHolder = errors.New("forward: no holder can be reached")
	// ErrNoRoom: no engine can take the model now.
	ErrNoRoom = errors.New("forward: no engine can take the model now")
)

// Wanted asks for a unit to be loaded.
type Wanted struct {
	Service string
	Unit    serving.Unit
	// Missing names an engine that said that it does not have the unit though
	// it should.
	Missing string
	// Unreachable names an engine that could not be connected to.
	Unreachable string
}

// Urgency is what a request loses if its unit has to be loaded first.
type Urgency struct {
	// Priority of its route, 0 first.
	Priority int
	// Deferrable: it may be refused for load.
	Deferrable bool
	// Late is the chance that it is late then.
	Late float64
}

// Run is a request that runs on an engine.
type Run struct {
	Engine string
	Unit   serving.Unit
	// Deferrable: such a request may be refused for load.
	Deferrable bool
	// Only: no other engine is known to have the unit.
	Only bool
}

// Place is where a unit is or will be. The holder follows the load, and does not say that
// the unit is ready before that has ended. Instances that sent their requests at the time
// that they had been told first had 466 of 12,000 sends refused, most of them for loads
// that had to wait for an unload, and each was drawn from the budget of repeated sends
// (a quiet day with 195 instances).
type Place struct {
	// Engine is empty while that is not decided; ask again when it is Ready.
	Engine string
	Ready  time.Time
	// For is what requests wait for until then.
	For serving.Wait
}

// Placer has units loaded.
type Placer interface {
	// Want returns where the unit will be. It does not wait for the load. Its
	// errors are ErrNoHolder and ErrNoRoom; the place then says when to ask
	// again.
	Want(ctx context.Context, w Wanted) (Place, error)
	// Arrived notes a request for a unit, for forecasts.
	Arrived(unit serving.Unit, urgency Urgency)
	// Waits notes that a request waits for a unit to be loaded, until the returned
	// function is called. onTime is until when a load that begins leads to an answer
	// within the request's objective, and leaves when its client leaves.
	Waits(unit serving.Unit, priority int, onTime, leaves time.Time) func()
	// Started notes that a request runs on an engine, until the returned function is
	// called, which is told whether the engine has answered.
	Started(r Run) func(answered bool)
}

// Params are what the forwarder goes by beside routes.
type Params struct {
	FailureDomain string
	// FirstEvent is how long an engine takes to a first event when all that it
	// needs is loaded.
	FirstEvent time.Duration
	// RetryPause is the pause before a server that has just refused is asked
	// again.
	RetryPause time.Duration
}

// DefaultParams returns the parameters used unless set otherwise.
func DefaultParams(failureDomain string) Params {
	return Params{
		FailureDomain: failureDomain, FirstEvent: 120 * time.Millisecond, RetryPause: 60 * time.Millisecond,
	}
}

// Forwarder is a serving.Handler.
type Forwarder struct {
	params   Params
	dir      *directory.Directory
	sender   serving.Sender
	placer   Placer
	balancer *balance.Balancer
	budget   *Budget
	guard    Guard
	access   Access
	intake   Intake
	log      logrus.FieldLogger
	counts   *Counts
	// leaving is closed when the instance is about to end.
	leaving chan struct{}
}

// New returns a Forwarder.
func New(p Params, dir *directory.Directory, s serving.Sender, placer Placer, b *balance.Balancer, budget *Budget, guard Guard, a Access, intake Intake, counts *Counts, log logrus.FieldLogger) *Forwarder {
	return &Forwarder{
		params: p, dir: dir, sender: s, placer: placer, balancer: b, budget: budget, guard: guard, access: a, intake: intake, counts: counts, log: log,
		leaving: make(chan struct{}),
	}
}

// Leave has all requests that no server has yet refused, since the instance is
// about to end. It must be called once.
func (f *Forwarder) Leave() { close(f.leaving) }

// leavingRetry is told to clients of an instance that leaves: another answers.
const leavingRetry = 20 * time.Millisecond

// left returns the refusal of an instance that leaves, nil while it stays.
func (f *Forwarder) left() *verdict.Failure {
	select {
	case <-f.leaving:
		return verdict.Refuse(verdict.ReasonDraining, "the instance is leaving").After(leavingRetry)
	default:
		return nil
	}
}

// noConfigRetry is told to clients while there is no configuration yet.
const noConfigRetry = 500 * time.Millisecond

// Serve implements serving.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *serving.Request, w http.ResponseWriter) *verdict.Failure {
	f.counts.begin()
	config, known := f.access.Current()
	if config == nil {
		return f.refused(r, verdict.Refuse(verdict.ReasonPlatform, "no configuration is known yet").After(noConfigRetry))
	}
	if !f.guard.Ready() {
		return f.refused(r, verdict.Refuse(verdict.ReasonPlatform, "it is not known yet which requests are held").After(noConfigRetry))
	}
	route := config.Match(r.Host, r.Path())
	if route == nil {
		return f.refused(r, access.NoRoute(config, r, known, f.access.Policy()))
	}
	admitted, failure := f.admit(ctx, admission{config: config, known: known, route: route}, r)
	if failure != nil {
		return f.notAdmitted(admitted, r, failure)
	}
	t := f.newTrip(admitted, r, w)
	ctx, cancel := context.WithTimeout(ctx, clock.Until(t.deadline))
	defer cancel()
	failure = t.run(ctx)
	if t.runs == 0 {
		admitted.giveBack()
	}
	t.end(failure)
	return failure
}

func (f *Forwarder) refused(r *serving.Request, failure *verdict.Failure) *verdict.Failure {
	f.counts.end(failure, 0)
	f.log.WithFields(logrus.Fields{"request": r.ID, "reason": failure.Reason}).Info("request refused: " + failure.Detail)
	return failure
}

// chooseTarget picks a service by weight.
func chooseTarget(targets []serving.Target) string {
	total := 0
	for _, t := range targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return targets[0].Service
	}
	n := rand.IntN(total)
	for _, t := range targets {
		n -= max(0, t.Weight)
		if n < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}
