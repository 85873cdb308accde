package forward

import (
	"math/rand/v2"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// deferrable reports whether a route's requests may be refused for load. Those of the first
// rank are not: engines admit them before all others.
func deferrable(r *serving.Route) bool { return r.Priority > 0 }

// overloadRetry is told to clients that are refused for load: about the time in which the
// places of an engine turn over.
const overloadRetry = 1500 * time.Millisecond

// refuseOverload refuses a request, by chance, while more is asked for than the engines of
// its model serve. One that an engine has had is not refused for that.
func (t *trip) refuseOverload() *verdict.Failure {
	if !deferrable(t.route) || t.sends > 0 || t.out.started {
		return nil
	}
	share := t.f.dir.Admit(t.request.Unit.Model, clock.Now())
	if rand.Float64() < share {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQueueFull, "more is asked of %s than its engines serve, %.2f of such requests are admitted",
		t.request.Unit.Model, share).After(overloadRetry)
}
