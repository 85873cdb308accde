package forward

import (
	"math/rand/v2"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// deferrable reports whether requests of a route may be refused under overload. Requests of the
// highest priority may not: engines admit them before all others.
func deferrable(r *serving.Route) bool { return r.Priority > 0 }

// overloadRetryAfter is the Retry-After of requests refused under overload: about the time in which
// all slots of an engine are freed and taken again.
const overloadRetryAfter = 1500 * time.Millisecond

// admittedShare returns the share of requests like this one to admit. In a contended service that is
// the share of their class, which may be below 1 for the highest priority too: if that alone asks for
// more than there is, a queue for the slots of the engines makes all of its requests late.
func (t *transaction) admittedShare() float64 {
	if t.room != nil {
		if share, known := t.f.dir.AdmitClass(t.request.Unit.Model, t.room.Class, clock.Now()); known {
			return share
		}
	}
	if !deferrable(t.route) {
		return 1
	}
	return t.f.dir.Admit(t.request.Unit.Model, clock.Now())
}

// refuseOverload refuses a random fraction of the requests while the demand for a model exceeds the
// capacity of its engines. A request that has been sent to an engine before is not refused, nor is a
// resumed stream for which its engine has room.
func (t *transaction) refuseOverload(server serving.Server) *verdict.Failure {
	if t.sends > 0 || t.out.started {
		return nil
	}
	share := t.admittedShare()
	if rand.Float64() < share {
		if !t.resumes() {
			t.f.resumed.earn(t.service.Name)
		}
		return nil
	}
	if t.admitResumed(server) {
		return nil
	}
	return t.refuseInOrder(verdict.Refuse(verdict.ReasonQueueFull, "more is asked of %s than its engines serve, %.2f of such requests are admitted",
		t.request.Unit.Model, share).WithRetryAfter(overloadRetryAfter))
}
