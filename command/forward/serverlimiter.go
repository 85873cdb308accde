package forward

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// An overloaded server states in its answers how many requests it accepts from all instances
// together, or that one instance should send it nothing for a while. This applies to every send:
// first and repeated ones, the rest of a stream, calls from servers, and sends of suspects. It is
// therefore checked in one place right before each send and not on arrival, since the request may
// have waited for a load in between.

// ServerLimiter tracks which limits servers currently impose on the requests they receive.
type ServerLimiter interface {
	// RetryAfterUntil returns until when this instance must not send to a server, or the zero time
	// if it may.
	RetryAfterUntil(s serving.Server) time.Time
	// Brittle returns what is known of a server that ends if it has to reject too many requests; isBrittle is false if it
	// does not.
	Brittle(s serving.Server) (b brittle.Server, isBrittle bool)
	// Limited reports whether a server limits the requests it accepts. spareFrom is the estimated
	// earliest time at which it can accept a request that could also be sent elsewhere.
	Limited(s serving.Server) (limited bool, spareFrom time.Time)
	// Admit requests permission to send a request to a server now. noAlternative is set if no server
	// without a limit is available for the request.
	Admit(ctx context.Context, s serving.Server, t quota.Turn, noAlternative bool) Admission
}

// Admission is the answer to a request for permission to send.
type Admission struct {
	Granted bool
	// Refund returns the permission if nothing is sent after all.
	Refund func()
	// RetryAfter is the time to wait before asking again if permission is not granted.
	RetryAfter time.Duration
	// Rate is the number of requests per second that the server accepts.
	Rate float64
}

// limitedServers is the state of one request with regard to servers that limit the requests they
// accept.
type limitedServers struct {
	// hasAlternative is set if the request can be sent to a server without a limit, as of the last
	// choice.
	hasAlternative bool
	// retryAt is the earliest time of the next request for permission, by server ID. Permission is
	// requested from at most maxLimitedServers servers.
	retryAt map[string]time.Time
	// nextAvailable is when the first of the currently unavailable servers becomes available; the
	// zero time if there is none. It is set by each choice.
	nextAvailable time.Time
	// unavailable are the IDs of the servers that are currently unavailable.
	unavailable []string
	// refund returns the permission granted for the next send.
	refund func()
}

// availableServers returns the indices of the servers to which the request may be sent now,
// according to current knowledge: the servers without a limit and the limited ones with spare
// capacity, or all limited ones if there are no servers without a limit.
func (t *transaction) availableServers(servers []serving.Server) []int {
	now := clock.Now()
	t.serverLimits.nextAvailable, t.serverLimits.unavailable = time.Time{}, nil
	var free, spare, limited []int
	for i, s := range servers {
		if at := t.notBefore(s); at.After(now) {
			t.addUnavailable(s, at)
			continue
		}
		_, asked := t.serverLimits.retryAt[s.ID]
		switch isLimited, spareFrom := t.f.limiter.Limited(s); {
		case !isLimited:
			free = append(free, i)
		case !asked && len(t.serverLimits.retryAt) >= maxLimitedServers:
		case spareFrom.After(now):
			limited = append(limited, i)
		default:
			spare = append(spare, i)
		}
	}
	t.serverLimits.hasAlternative = len(free) > 0
	t.search.available = len(free) + len(spare) + len(limited)
	if t.serverLimits.hasAlternative {
		return append(free, spare...)
	}
	return append(spare, limited...)
}

// notBefore returns the earliest time at which the request may be sent to the server, given the
// server's Retry-After, the last answer to a request for permission, and its room if it is brittle.
func (t *transaction) notBefore(s serving.Server) time.Time {
	return latest(latest(t.f.limiter.RetryAfterUntil(s), t.serverLimits.retryAt[s.ID]), t.brittleNotBefore(s, clock.Now()))
}

// addUnavailable records that a server is unavailable until a given time.
func (t *transaction) addUnavailable(s serving.Server, at time.Time) {
	t.serverLimits.unavailable = append(t.serverLimits.unavailable, s.ID)
	if t.serverLimits.nextAvailable.IsZero() || at.Before(t.serverLimits.nextAvailable) {
		t.serverLimits.nextAvailable = at
	}
}

// isResting reports whether the server has asked this instance to send no requests for now.
func (t *transaction) isResting(server serving.Server) bool {
	return t.f.limiter.RetryAfterUntil(server).After(clock.Now())
}

// admitByServer reports whether the request may be sent to the server now. If not, it records when
// permission may be requested again.
func (t *transaction) admitByServer(ctx context.Context, server serving.Server) bool {
	if t.isResting(server) {
		return false // the Retry-After may have been set after the server was chosen
	}
	if limited, _ := t.f.limiter.Limited(server); !limited {
		return true
	}
	_, waited := t.serverLimits.retryAt[server.ID]
	a := t.f.limiter.Admit(ctx, server, quota.Turn{Spare: t.serverLimits.hasAlternative || deferrable(t.route), Waited: waited}, !t.serverLimits.hasAlternative)
	if a.Granted {
		t.serverLimits.refund = a.Refund
		return true
	}
	if t.serverLimits.retryAt == nil {
		t.serverLimits.retryAt = map[string]time.Time{}
	}
	t.serverLimits.retryAt[server.ID] = clock.Now().Add(a.RetryAfter)
	t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"server": server.ID, "rate": a.Rate, "spare": t.serverLimits.hasAlternative, "after_ms": a.RetryAfter.Milliseconds(),
	}).Info("server limit reached")
	return false
}

// refundAdmission returns the permission for a send that reached no server.
func (t *transaction) refundAdmission() {
	if t.serverLimits.refund != nil {
		t.serverLimits.refund()
	}
	t.serverLimits.refund = nil
}

const (
	// maxLimitedServers is the number of limited servers from which a request asks for permission.
	// If all of many servers are at their limits, a request that asked every one of them would be
	// refused late, and the holder would be asked a hundred times for it.
	maxLimitedServers = 3
	// maxTurnWait bounds how long a request waits here for a server that limits requests or has set
	// a Retry-After. A client that is sent a Retry-After instead can be served by another instance
	// in the meantime.
	maxTurnWait = time.Second
	// retrySpreadFraction is the fraction of a server's Retry-After over which the Retry-After of
	// clients is spread, and maxRetrySpread bounds that spread. Otherwise the server would receive
	// all of these requests at once.
	retrySpreadFraction = 0.5
	maxRetrySpread      = time.Second
)

// awaitTurn waits until one of the unavailable servers becomes available, or refuses the request
// immediately if that takes too long.
func (t *transaction) awaitTurn(ctx context.Context) *verdict.Failure {
	wait := clock.Until(t.serverLimits.nextAvailable)
	if t.roomWaitOver(clock.Now()) || wait > maxTurnWait || wait+t.f.params.FirstEvent >= clock.Until(t.nextOutputDeadline()) {
		return t.heldBackFailure(wait)
	}
	started := clock.Now()
	t.waits.setCause(serving.WaitTurn)
	defer func() { t.waits.add(clock.Since(started)) }()
	return t.pauseFor(ctx, max(wait, time.Millisecond))
}

// heldBackFailure refuses a request because no server accepts requests for the duration of wait.
// The Retry-After is spread because the Retry-After of a server ends for all clients at the same
// time, whereas limited servers grant permissions one by one.
func (t *transaction) heldBackFailure(wait time.Duration) *verdict.Failure {
	wait = max(wait, t.f.params.RetryPause) // a server may have become available since the choice
	spread := min(maxRetrySpread, time.Duration(retrySpreadFraction*float64(wait)))
	after := wait + time.Duration(rand.Float64()*float64(spread))
	return verdict.Refuse(verdict.ReasonHeldBack, "no server of %s that could run it takes anything for %s: all limit what they take, or rest",
		t.service.Name, round(wait)).WithRetryAfter(after)
}

// unavailableServers returns the IDs of the servers for which the request last waited or was
// refused, up to a maximum number.
func (l *limitedServers) unavailableServers() string {
	const maxServers = 8
	return strings.Join(l.unavailable[:min(maxServers, len(l.unavailable))], ",")
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
