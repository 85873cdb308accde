package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// clientWriter writes the answer of a request to the client.
type clientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// started is set once the header has been written, so that the status can no longer change.
	started bool
	status  int
	// unflushed is set if an event was written and may not have been sent yet.
	unflushed bool
	// lastWrite is when data was last sent to the client.
	lastWrite time.Time
	// firstEvent is when the first event was relayed, and longestPause the longest time between two
	// events so far.
	firstEvent   time.Time
	longestPause time.Duration
	// order has the IDs of the events that the client has.
	order eventOrder
}

// newClientWriter returns a clientWriter for w. lastEventID is the last event that the client has of a stream that it takes
// up, "" for none.
func newClientWriter(w http.ResponseWriter, lastEventID string) *clientWriter {
	return &clientWriter{ResponseWriter: w, control: http.NewResponseController(w), order: newEventOrder(lastEventID)}
}

// start writes the header of the answer unless it has been written before.
func (w *clientWriter) start(resp *serving.Response) {
	if w.started {
		return // a resumed stream keeps the header of its first engine
	}
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if resp.Events {
		header.Del("Content-Length") // another server may send the rest, of another length
	}
	w.started, w.status, w.lastWrite = true, resp.Status, clock.Now()
	w.WriteHeader(resp.Status)
}

// flush sends the events that were written.
func (w *clientWriter) flush() error {
	if !w.unflushed {
		return nil
	}
	w.unflushed = false
	return w.control.Flush()
}

// recordEventSent records that an event was relayed to the client.
func (w *clientWriter) recordEventSent(now time.Time) {
	if w.firstEvent.IsZero() {
		w.firstEvent = now
	} else {
		w.longestPause = max(w.longestPause, now.Sub(w.lastWrite))
	}
	w.lastWrite = now
}

// maxBuffered is the size in bytes up to which an answer is read completely before it is relayed.
// If such an answer breaks off, nothing has been sent to the client yet and the request can still
// be repeated.
const maxBuffered = 64 << 10

// relay relays an answer to the client. If it fails, the client may have received a part of the
// answer.
func (t *transaction) relay(ctx context.Context, resp *serving.Response) *verdict.Failure {
	_ = t.out.control.SetWriteDeadline(time.Now().Add(clock.Until(t.deadline) + writeSlack)) // otherwise a client that does not read would not be detected
	defer func() { _ = t.out.control.SetWriteDeadline(time.Time{}) }()
	if resp.Status >= http.StatusInternalServerError && t.route.MayRepeat() && t.runs < t.route.Attempts && !t.out.started {
		return t.withholdFailure(ctx, resp)
	}
	if resp.Events && resp.Status == http.StatusOK {
		return t.relayEvents(ctx, resp)
	}
	if t.out.started {
		return verdict.New(verdict.Ran, verdict.ReasonBackend, "status %d instead of the rest of a stream", resp.Status)
	}
	if t.route.Kind == serving.Streaming && resp.Status < http.StatusMultipleChoices {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "a success with status %d that is no stream of events", resp.Status)
	}
	return t.relayBody(ctx, resp)
}

// writeSlack is how long after the request's deadline a client may take to read.
const writeSlack = 500 * time.Millisecond

// withholdFailure does not relay an engine's failure if the request can be sent to another server.
// Otherwise the failure is relayed.
func (t *transaction) withholdFailure(ctx context.Context, resp *serving.Response) *verdict.Failure {
	server, known := t.f.dir.Server(t.server)
	others := len(t.f.dir.Servers(t.service.Name))
	if !known || others < 2 || !t.drawRepeatedSend() {
		return t.relayBody(ctx, resp)
	}
	t.drawnAt = clock.Now()
	return verdict.New(verdict.Ran, verdict.ReasonBackend, "server %s answered with status %d", server.ID, resp.Status)
}

// relayBody relays an answer that is not a stream of events.
func (t *transaction) relayBody(ctx context.Context, resp *serving.Response) *verdict.Failure {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the answer broke off: %v", err).WithCause(err)
	}
	t.out.start(resp)
	if _, err := t.out.Write(prefix); err != nil {
		return clientGone(err)
	}
	if len(prefix) < maxBuffered {
		return nil
	}
	if _, err := io.Copy(t.out, newPacedReader(ctx, resp.Body, bodyPace)); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "the answer broke off: %v", err).WithCause(err)
	}
	return nil
}

// clientGone returns the failure of a request whose answer could not be written to the client.
func clientGone(err error) *verdict.Failure {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the client does not take its answer: %v", err)
}

// relayEvents relays events as they arrive, each one only once it is complete.
func (t *transaction) relayEvents(ctx context.Context, resp *serving.Response) *verdict.Failure {
	events := newEventReader(ctx, resp.Body)
	t.out.order.beginPart(t.onlyRun != nil)
	defer func() { _ = t.out.flush() }() // if that fails, so does the next write
	for {
		if !events.hasEvent() { // the next event may be long in coming
			if err := t.out.flush(); err != nil {
				return clientGone(err)
			}
		}
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return t.finishEvents(resp)
		}
		if err != nil {
			t.recordInvalidStream(resp, err)
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the stream broke off after event %q: %v", t.out.order.lastID, err).WithCause(err)
		}
		received := clock.Now()
		t.recordEventReceived(received)
		t.speed.recordEvent(received)
		switch t.out.order.place(e) {
		case eventRepeated:
			t.f.counts.eventOutOfOrder("repeated")
			continue
		case eventMisplaced:
			t.f.counts.eventOutOfOrder("misplaced")
			failure := verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "event %q does not follow event %q", e.id, t.out.order.lastID)
			t.logInvalidStream(failure)
			return failure
		}
		if failure := t.pinVersion(ctx, resp); failure != nil {
			return failure
		}
		t.out.start(resp)
		if _, err := t.out.Write(e.raw); err != nil {
			return clientGone(err)
		}
		t.out.unflushed = true
		sent := clock.Now()
		t.out.recordEventSent(sent)
		t.speed.recordWrite(sent.Sub(received))
		t.out.order.record(e)
	}
}

// recordEventReceived records that the server has sent an event.
func (t *transaction) recordEventReceived(now time.Time) {
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	}
	t.recordBegun(now)
	t.endTrialAfterGrace(now)
}

// recordInvalidStream records that a server sent something that can't be in a stream.
func (t *transaction) recordInvalidStream(resp *serving.Response, err error) {
	switch {
	case errors.Is(err, errEventTooLarge) && resp.RecordOversized != nil:
		resp.RecordOversized()
	case errors.Is(err, errNotAnEvent):
		t.f.counts.eventOutOfOrder("no_event")
		t.logInvalidStream(err)
	}
}

// invalidStreamLogInterval is the time between two log lines about invalid streams of one server.
const invalidStreamLogInterval = time.Second

// logInvalidStream logs why the server's part of a stream is not relayed any further.
func (t *transaction) logInvalidStream(err error) {
	if omitted, due := t.f.invalidStreams.Due(t.server, clock.Now()); due {
		t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{"server": t.server, "event": t.out.order.lastID, "error": err, "omitted": omitted}).
			Warn("server sent an invalid stream, which is broken off")
	}
}

// finishEvents completes a stream that its engine has ended. A part that ends among the events that the client has is not
// the rest of its stream.
func (t *transaction) finishEvents(resp *serving.Response) *verdict.Failure {
	if t.out.order.behind {
		t.f.counts.eventOutOfOrder("ended_before")
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "the stream ended before event %q, which its client has", t.out.order.lastID)
	}
	t.out.start(resp)
	t.endSpeedSample(clock.Now())
	return nil
}
