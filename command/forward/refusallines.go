package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

const (
	// refusalLinesPerWindow is how many refusals that are alike are logged one by one in each window: enough to see
	// what is refused and why.
	refusalLinesPerWindow = 10
	refusalLinesWindow    = time.Second
	// noPriority is the priority of refusals of requests that matched no route.
	noPriority = -1
)

// refusalKind is what refusals that are alike have in common. The number of kinds is bounded by the configured
// priorities.
type refusalKind struct {
	reason   verdict.Reason
	wait     serving.Wait
	priority int
}

// refusalLines bounds the log lines of refusals. A line with the numbers of those left out follows each window.
type refusalLines struct {
	log    func() logrus.FieldLogger
	counts *Counts

	mu       sync.Mutex
	limiter  *overload.LineLimiter[refusalKind] // guarded by mu
	timerSet bool                               // guarded by mu
}

func newRefusalLines(log func() logrus.FieldLogger, counts *Counts) *refusalLines {
	return &refusalLines{log: log, counts: counts, limiter: overload.NewLineLimiter[refusalKind](refusalLinesPerWindow, refusalLinesWindow)}
}

// allow reports whether the refusal of a request is logged by a line of its own.
func (l *refusalLines) allow(kind refusalKind) bool {
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.Allow(kind, now) {
		l.counts.refusalsLogged.Inc()
		return true
	}
	l.counts.refusalsOmitted.Inc()
	if !l.timerSet {
		l.timerSet = true
		time.AfterFunc(l.limiter.WindowEnd().Sub(now), l.writeOmitted)
	}
	return false
}

// writeOmitted logs how many refusals have been left out.
func (l *refusalLines) writeOmitted() {
	l.mu.Lock()
	l.timerSet = false
	omitted := l.limiter.TakeOmitted()
	l.mu.Unlock()
	for kind, n := range omitted {
		fields := logrus.Fields{"requests": n, "reason": kind.reason, "verdict": verdict.NotRun}
		if kind.wait != "" {
			fields["waited_for"] = kind.wait
		}
		if kind.priority != noPriority {
			fields["priority"] = kind.priority
		}
		l.log().WithFields(fields).Info("refusals not logged one by one")
	}
}

// FlushLog logs the refusals that were left out so far. It is called when the instance stops.
func (f *Forwarder) FlushLog() { f.refusals.writeOmitted() }

// logsFailure reports whether the end of the request is logged by a line of its own. A request that has reached a
// server always is.
func (t *transaction) logsFailure(failure *verdict.Failure) bool {
	if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason == verdict.ReasonCancelled || t.sends > 0 {
		return true
	}
	return t.f.refusals.allow(refusalKind{failure.Reason, t.waits.longestCause(), t.route.Priority})
}
