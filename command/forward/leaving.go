package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/verdict"
)

// errInstanceLeft is the cause of the end of requests that are still under way when the instance has to end.
var errInstanceLeft = errors.Wrap(context.Canceled, "forward: the instance has left")

// leaving is when the requests of an instance that shuts down have to end.
type leaving struct {
	mu    sync.Mutex
	timer *time.Timer // guarded by mu
	// by is when requests end at the latest; nil while the instance stays. It never moves back.
	by atomic.Pointer[time.Time]
	// alone is set if no other instance could answer in the place of this one.
	alone atomic.Bool
	// left ends when requests have to end.
	left context.Context
	end  context.CancelFunc
}

func newLeaving() *leaving {
	l := &leaving{}
	l.left, l.end = context.WithCancel(context.Background())
	return l
}

// EndBy refuses requests from now on that are not expected to end by the given time, because the instance is shutting
// down, and then ends those that are still under way. alone is whether no other instance could answer instead. It may be
// called again; the earliest time applies.
func (f *Forwarder) EndBy(by time.Time, alone bool) {
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.by.Load(); old != nil && !by.Before(*old) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.alone.Store(alone)
	l.by.Store(&by)
	l.timer = time.AfterFunc(time.Until(by), l.end)
}

// requestContext returns the context of a request that has to end at deadline, and when the instance does.
func (f *Forwarder) requestContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.leaving.left, func() { end(errInstanceLeft) })
	ctx, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	return ctx, func() {
		stop()
		cancel()
		end(nil)
	}
}

// endedByLeaving reports whether a request's context has ended because the instance has to end.
func endedByLeaving(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errInstanceLeft)
}

// leavingFailure refuses a request that should not be sent any more because the instance is shutting down.
func (t *transaction) leavingFailure() *verdict.Failure {
	if failure := t.f.drainingFailure(); failure != nil {
		return failure
	}
	by := t.f.leaving.by.Load()
	if by == nil || !t.deadline.After(*by) || t.out.started || t.request.LastEventID != "" {
		return nil
	}
	quantile := cautiousQuantile
	if t.f.leaving.alone.Load() {
		quantile = likelyQuantile
	}
	expected, known := t.f.durations.expected(durationKeyOf(t), quantile)
	if !known || expected+answerSlack <= clock.Until(*by) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDraining, "the instance is leaving in %s and such requests take %s",
		clock.Until(*by).Round(time.Millisecond), expected.Round(time.Millisecond)).WithRetryAfter(drainRetryAfter)
}

const (
	// cautiousQuantile is the quantile of the durations that is expected while another instance can answer instead.
	cautiousQuantile = 0.9
	// likelyQuantile is the same if there is no other instance: only what would probably be lost is refused.
	likelyQuantile = 0.5
	// answerSlack is added to what a request is expected to take.
	answerSlack = 250 * time.Millisecond
)

// durationKey identifies requests that take about the same time. model is empty for all of a route.
type durationKey struct{ route, model string }

func durationKeyOf(t *transaction) durationKey {
	return durationKey{t.route.Name, t.request.Unit.Model}
}

const (
	// keptDurations is the number of durations from which a request's is estimated.
	keptDurations = 32
	// maxDurationKeys bounds the memory of durations while routes come and go.
	maxDurationKeys = 4096
)

// durations has how long servers took for recent requests that were answered.
type durations struct {
	mu     sync.Mutex
	recent map[durationKey]*recentDurations // guarded by mu
}

// recentDurations is a ring of the last durations; total is the number of all so far.
type recentDurations struct {
	values [keptDurations]time.Duration
	total  int
}

func newDurations() *durations {
	return &durations{recent: map[durationKey]*recentDurations{}}
}

// record records the duration of an answered request, for its model and for its route.
func (d *durations) record(key durationKey, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(key, took)
	if key.model != "" {
		d.add(durationKey{route: key.route}, took)
	}
}

// add adds a duration. d.mu must be held.
func (d *durations) add(key durationKey, took time.Duration) {
	r := d.recent[key]
	if r == nil {
		if len(d.recent) >= maxDurationKeys {
			clear(d.recent)
		}
		r = &recentDurations{}
		d.recent[key] = r
	}
	r.values[r.total%keptDurations] = took
	r.total++
}

// expected returns a quantile of the durations of a model's requests, of those of all its route if none is known.
func (d *durations) expected(key durationKey, quantile float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recent[key]
	if r == nil {
		r = d.recent[durationKey{route: key.route}]
	}
	if r == nil {
		return 0, false
	}
	sorted := slices.Clone(r.values[:min(r.total, keptDurations)])
	slices.Sort(sorted)
	return sorted[int(quantile*float64(len(sorted)-1))], true
}

// recordDuration records how long the server took for an answered request. The rest of a stream says nothing about a
// whole one.
func (t *transaction) recordDuration() {
	if t.request.LastEventID == "" && t.out.status < http.StatusMultipleChoices {
		t.f.durations.record(durationKeyOf(t), clock.Since(t.sentAt))
	}
}
