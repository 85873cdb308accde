package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// writer is the client's side of a trip.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	// started: the head has been written, so the status can no longer change.
	started bool
	status  int
	// written is when the client was last sent something.
	written time.Time
	// first is when the first event was passed on, and pause the longest time
	// between two of them so far.
	first time.Time
	pause time.Duration
	// lastEvent is the id of the last event passed on, "" before the first.
	lastEvent string
}

func newWriter(w http.ResponseWriter) *writer {
	return &writer{ResponseWriter: w, control: http.NewResponseController(w)}
}

func (w *writer) start(resp *serving.Response) {
	if w.started {
		return // a resumed stream keeps the head of its first engine
	}
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.started, w.status, w.written = true, resp.Status, clock.Now()
	w.WriteHeader(resp.Status)
}

// passedOn notes that an event was passed on.
func (w *writer) passedOn(now time.Time) {
	if w.first.IsZero() {
		w.first = now
	} else {
		w.pause = max(w.pause, now.Sub(w.written))
	}
	w.written = now
}

// maxBuffered is the largest answer that is read whole before it is passed on.
// One that breaks off by then leaves every choice open.
const maxBuffered = 64 << 10

// relay passes an answer on. On failure the client may have a part of it.
func (t *trip) relay(ctx context.Context, resp *serving.Response) *verdict.Failure {
	_ = t.out.control.SetWriteDeadline(time.Now().Add(clock.Until(t.deadline) + writeSlack)) // without one a client that does not read is not noticed
	defer func() { _ = t.out.control.SetWriteDeadline(time.Time{}) }()
	if resp.Status >= http.StatusInternalServerError && t.route.MayRepeat() && t.runs < t.route.Attempts && !t.out.started {
		return t.holdBack(resp)
	}
	if resp.Events && resp.Status == http.StatusOK {
		return t.relayEvents(ctx, resp)
	}
	if t.out.started {
		return verdict.New(verdict.Ran, verdict.ReasonBackend, "status %d instead of the rest of a stream", resp.Status)
	}
	return t.relayBody(resp)
}

// writeSlack is how long after the request's time a client may take to read.
const writeSlack = 500 * time.Millisecond

// holdBack keeps an engine's failure from a client whose request may be tried
// elsewhere. It is passed on after all if that is not possible.
func (t *trip) holdBack(resp *serving.Response) *verdict.Failure {
	server, known := t.f.dir.Server(t.server)
	others := len(t.f.dir.Servers(t.service.Name))
	if !known || others < 2 || !t.draw() {
		return t.relayBody(resp)
	}
	t.prepaid = clock.Now()
	return verdict.New(verdict.Ran, verdict.ReasonBackend, "server %s answered with status %d", server.ID, resp.Status)
}

func (t *trip) relayBody(resp *serving.Response) *verdict.Failure {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the answer broke off: %v", err).From(err)
	}
	t.out.start(resp)
	if _, err := t.out.Write(head); err != nil {
		return clientGone(err)
	}
	if len(head) < maxBuffered {
		return nil
	}
	if _, err := io.Copy(t.out, resp.Body); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "the answer broke off: %v", err).From(err)
	}
	return nil
}

func clientGone(err error) *verdict.Failure {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the client does not take its answer: %v", err)
}

// relayEvents passes events on as they arrive, each whole.
func (t *trip) relayEvents(ctx context.Context, resp *serving.Response) *verdict.Failure {
	events := bufio.NewReader(resp.Body)
	for {
		e, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return t.endEvents(resp, e)
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the stream broke off after event %q: %v", t.out.lastEvent, err).From(err)
		}
		t.arrived(clock.Now())
		if t.passed(e) {
			continue // a resumed stream that repeats an event
		}
		t.out.start(resp)
		if _, err := t.out.Write(e.raw); err != nil {
			return clientGone(err)
		}
		t.out.passedOn(clock.Now())
		if e.id != "" {
			t.out.lastEvent = e.id
		}
		if events.Buffered() > 0 {
			continue // flushed with what follows
		}
		if err := t.out.control.Flush(); err != nil {
			return clientGone(err)
		}
	}
}

// arrived notes that the server has sent an event.
func (t *trip) arrived(now time.Time) {
	if t.firstHere.IsZero() {
		t.firstHere = now
	}
	t.passedTrial(now)
}

// endEvents ends a stream whose engine has ended it; rest is what follows the
// last whole event.
func (t *trip) endEvents(resp *serving.Response, rest streamEvent) *verdict.Failure {
	if len(rest.raw) > 0 {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the stream ended within an event after %q", t.out.lastEvent)
	}
	t.out.start(resp)
	return nil
}

// passed reports whether the client has the event already.
func (t *trip) passed(e streamEvent) bool {
	last, err := strconv.ParseInt(t.out.lastEvent, 10, 64)
	if err != nil {
		return false // none passed on yet
	}
	id, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && id <= last
}

// streamEvent is one event of a stream, as it came.
type streamEvent struct {
	raw []byte
	id  string
}

// readEvent reads up to and including the blank line that ends an event. At the
// end of the stream it returns io.EOF with what was left.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	var e streamEvent
	for {
		line, err := r.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err != nil {
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if name, value, _ := strings.Cut(string(text), ":"); name == "id" {
			e.id = strings.TrimPrefix(value, " ")
		}
	}
}
