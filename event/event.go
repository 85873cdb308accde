// Package event records the actions of a process as typed events, in a ring buffer
// of fixed size and as log lines. The hybrid logical clock stamps of events allow the
// events of all processes to be merged in causal order.
package event

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// Kind is the type of an event; docs/OPERATIONS.md lists the kinds.
type Kind string

// Kinds of events.
const (
	KindStart           Kind = "start"
	KindDrain           Kind = "drain"
	KindStop            Kind = "stop"
	KindAccept          Kind = "request_accept"
	KindAnswer          Kind = "request_answer"
	KindRefuse          Kind = "request_refuse"
	KindFail            Kind = "request_fail"
	KindCancel          Kind = "request_cancel"
	KindAttempt         Kind = "attempt"
	KindAttemptFail     Kind = "attempt_fail"
	KindWake            Kind = "wake"
	KindLoadOrder       Kind = "load_order"
	KindLoaded          Kind = "loaded"
	KindLoadFail        Kind = "load_fail"
	KindUnloadOrder     Kind = "unload_order"
	KindRoleOrder       Kind = "role_order"
	KindSlotBind        Kind = "slot_bind"
	KindSlotRelease     Kind = "slot_release"
	KindTakeover        Kind = "takeover"
	KindHandover        Kind = "handover"
	KindSuperseded      Kind = "superseded"
	KindBackendLeaving  Kind = "backend_leaving"
	KindEngineRestarted Kind = "engine_restarted"
	KindGeneration      Kind = "generation"
	KindPlan            Kind = "plan"
	KindConfirm         Kind = "confirm"
	KindPlatformDown    Kind = "platform_down"
	KindPlatformUp      Kind = "platform_up"
	KindPeerLost        Kind = "peer_lost"
	KindPeerBack        Kind = "peer_back"
)

// Event is one event in one process. Fields that do not apply are empty.
type Event struct {
	Stamp   Stamp
	Process string
	Kind    Kind
	Request string
	Model   string
	Engine  string
	Plan    string
	Detail  string
}

// Filter selects events; empty fields match all events.
type Filter struct {
	Request, Model, Engine, Plan string
	// Limit is the maximum number of events, the newest ones; 0 means no limit.
	Limit int
}

// Match reports whether e matches the filter. It ignores Limit.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Model, e.Model) &&
		matches(f.Engine, e.Engine) && matches(f.Plan, e.Plan)
}

func matches(want, have string) bool { return want == "" || want == have }

// Recorder keeps the newest events of a process and logs each event.
type Recorder struct {
	process string
	clock   *Clock
	log     *logrus.Logger

	mu   sync.Mutex
	ring []Event // guarded by mu; ring buffer, appended to until full
	next int     // guarded by mu; index of the oldest event, 0 until full
}

// NewRecorder returns a Recorder that keeps up to size events. If log is nil, events
// are not logged.
func NewRecorder(process string, clock *Clock, size int, log *logrus.Logger) *Recorder {
	return &Recorder{process: process, clock: clock, log: log, ring: make([]Event, 0, size)}
}

// Clock returns the clock used to stamp events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets the stamp and process of e, keeps it and logs it.
func (r *Recorder) Record(e Event) {
	e.Stamp = r.clock.Now()
	e.Process = r.process
	r.keep(e)
	r.logLine(e)
}

func (r *Recorder) keep(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

func (r *Recorder) logLine(e Event) {
	if r.log == nil {
		return
	}
	fields := logrus.Fields{"event": string(e.Kind), "process": e.Process}
	addField(fields, "request", e.Request)
	addField(fields, "model", e.Model)
	addField(fields, "engine", e.Engine)
	addField(fields, "plan", e.Plan)
	r.log.WithFields(fields).Info(e.Detail)
}

func addField(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

// Select returns the kept events that match f, oldest first.
func (r *Recorder) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}
