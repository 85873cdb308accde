package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/verdict"
)

// Waiter is a request that waits for room on a replica of its model.
type Waiter struct {
	Model, Caller string
	// Priority from 0 to 9; higher ones go first within a model.
	Priority int
	Deadline time.Time
	// Service is how long the request takes once it has room, as observed of
	// late; 0 when unknown.
	Service time.Duration
}

// feasible reports whether the request can still be answered when it has room
// after wait.
func (w Waiter) feasible(wait time.Duration) bool {
	return !time.Now().Add(wait + w.Service).After(w.Deadline)
}

// entry is a waiter in the line.
type entry struct {
	Waiter
	try     func() bool
	granted chan struct{}
	late    bool // set before granted is closed: given up, not granted
}

// modelLine is the waiters of one model.
type modelLine struct {
	name    string
	entries []*entry
	// served is when each caller was last served, by the line's count of
	// grants, so that one caller's many requests do not keep others waiting.
	served map[string]uint64
	// pace is the smoothed time between two grants, 0 before the second.
	pace  time.Duration
	since time.Time // of the last grant
	// busySince is when the line last stopped being empty.
	busySince time.Time
}

// Line is where requests wait for room on the replicas of their model. Models
// take turns, callers of one model take turns by priority, and among one
// caller's requests the earliest deadline goes first. Waiting here, not in the
// engines' own queues, is what keeps goodput up under overload: an engine
// does not know deadlines and would work on requests that are already lost.
type Line struct {
	params LineParams

	mu     sync.Mutex
	models []*modelLine // guarded by mu; those with waiters, next turn first
	grants uint64       // guarded by mu
}

// LineParams bound a Line.
type LineParams struct {
	// MaxWaiting bounds the waiters of one model.
	MaxWaiting int
	// RetryAfter is the least time told to callers that are refused.
	RetryAfter time.Duration
	// Refuse turns the estimate of the wait on; without it requests are
	// refused only for the bound, or when their deadline has passed.
	Refuse bool
}

// NewLine returns an empty line.
func NewLine(p LineParams) *Line { return &Line{params: p} }

// Wait returns nil once try has returned true. try is called under the line's
// lock, in turn, when there may be room. Requests that would wait past their
// deadline are refused at once, with the time that the line will take.
func (l *Line) Wait(ctx context.Context, w Waiter, try func() bool) error {
	e, err := l.enter(w, try)
	if e == nil {
		return err
	}
	select {
	case <-e.granted:
	case <-ctx.Done():
		if !l.leave(e) {
			e.late = true
		}
	}
	if !e.late {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDeadline, "no room on a replica of %s in time", w.Model).After(l.params.RetryAfter)
}

// enter lets the request pass, refuses it, or puts it in the line.
func (l *Line) enter(w Waiter, try func() bool) (*entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.find(w.Model)
	if (m == nil || len(m.entries) == 0) && try() {
		return nil, nil
	}
	if m == nil {
		m = &modelLine{name: w.Model, served: map[string]uint64{}}
		l.models = append(l.models, m)
	}
	if len(m.entries) >= l.params.MaxWaiting {
		return nil, verdict.Refuse(verdict.ReasonQueueFull, "%d requests wait for %s here", len(m.entries), w.Model).After(l.retryAfter(m))
	}
	if wait := m.estimate(w); l.params.Refuse && !w.feasible(wait) {
		return nil, verdict.Refuse(verdict.ReasonDeadline, "the line for %s takes %v", w.Model, wait.Round(time.Millisecond)).After(max(wait, l.params.RetryAfter))
	}
	e := &entry{Waiter: w, try: try, granted: make(chan struct{})}
	if len(m.entries) == 0 {
		m.busySince = time.Now()
	}
	m.entries = append(m.entries, e)
	return e, nil
}

// find needs mu.
func (l *Line) find(model string) *modelLine {
	i := slices.IndexFunc(l.models, func(m *modelLine) bool { return m.name == model })
	if i < 0 {
		return nil
	}
	return l.models[i]
}

// estimate is how long a new waiter would wait behind those of at least its
// priority, at the pace of late. It is an observation, not a prediction of the
// engine's speed (the empirical admission of the DIO paper).
func (m *modelLine) estimate(w Waiter) time.Duration {
	ahead := 0
	for _, e := range m.entries {
		if e.Priority >= w.Priority {
			ahead++
		}
	}
	return time.Duration(ahead) * m.pace
}

// retryAfter needs mu.
func (l *Line) retryAfter(m *modelLine) time.Duration {
	return max(l.params.RetryAfter, time.Duration(len(m.entries))*m.pace)
}

// leave takes an entry out and reports whether it had been granted or given up.
func (l *Line) leave(e *entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.find(e.Model)
	if m == nil {
		return true
	}
	i := slices.Index(m.entries, e)
	if i < 0 {
		return true
	}
	m.entries = slices.Delete(m.entries, i, i+1)
	return false
}

// Poke serves waiters as far as there is room. It is called whenever a request
// has ended or a replica's room may have grown.
func (l *Line) Poke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for misses := 0; misses < len(l.models); {
		m := l.models[0]
		l.models = append(l.models[1:], m)
		if l.serve(m) {
			misses = 0
		} else {
			misses++
		}
	}
	l.models = slices.DeleteFunc(l.models, func(m *modelLine) bool {
		return len(m.entries) == 0 && time.Since(m.since) > paceKept
	})
}

// paceKept is how long a model's pace is remembered after its line emptied.
const paceKept = 10 * time.Second

// serve grants the model's next waiter if it finds room. It needs mu.
func (l *Line) serve(m *modelLine) bool {
	if l.params.Refuse {
		m.giveUpLate()
	}
	e := m.next()
	if e == nil || !e.try() {
		return false
	}
	m.entries = slices.DeleteFunc(m.entries, func(o *entry) bool { return o == e })
	l.grants++
	m.served[e.Caller] = l.grants
	m.note(time.Now())
	close(e.granted)
	return true
}

// giveUpLate ends the wait of requests that cannot be answered in time any
// more, so that none of them takes room from one that can.
func (m *modelLine) giveUpLate() {
	m.entries = slices.DeleteFunc(m.entries, func(e *entry) bool {
		if e.feasible(0) {
			return false
		}
		e.late = true
		close(e.granted)
		return true
	})
}

// next returns the waiter whose turn it is.
func (m *modelLine) next() *entry {
	var best *entry
	for _, e := range m.entries {
		if best == nil || m.before(e, best) {
			best = e
		}
	}
	return best
}

func (m *modelLine) before(a, b *entry) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Caller != b.Caller {
		return m.served[a.Caller] < m.served[b.Caller]
	}
	return a.Deadline.Before(b.Deadline)
}

// paceWeight is the part of a new observation in the smoothed pace.
const paceWeight = 0.1

func (m *modelLine) note(now time.Time) {
	if !m.since.IsZero() {
		gap := now.Sub(m.since)
		if m.pace == 0 {
			m.pace = gap
		}
		m.pace += time.Duration(paceWeight * float64(gap-m.pace))
	}
	m.since = now
}

// Busy returns for how long requests have been waiting for each model without
// a break.
func (l *Line) Busy() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Duration{}
	for _, m := range l.models {
		if len(m.entries) > 0 {
			out[m.name] = time.Since(m.busySince)
		}
	}
	return out
}

// Waiting returns how many requests wait in the line.
func (l *Line) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.models {
		n += len(m.entries)
	}
	return n
}
