package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/platform"
)

// connEndRecorder logs and counts what ended a client's connection before a complete answer. Without
// these log lines it is not visible which side ended it.
type connEndRecorder struct {
	log logrus.FieldLogger
	set *metrics.Set
}

// Values of the metric's label "end".
const (
	endAnswerAborted   = "answer_cut"
	endHandlerPanic    = "panic"
	endRequestUnserved = "request_unserved"
	endAnswerNotSent   = "answer_not_taken"
	endLimit           = "limit"
	endNotAdmitted     = "not_admitted"
	endGrace           = "grace"
	endYielded         = "yielded"
)

func (e *connEndRecorder) count(end string, n int) {
	e.set.GetOrCreateCounter(`martenport_client_connection_ends_total{end="` + end + `"}`).Add(n)
}

// maxStack is the maximum length of a logged stack, in bytes.
const maxStack = 4 << 10

// logAborted logs requests whose handler panics or aborts. net/http then closes the connection without
// an answer.
func (e *connEndRecorder) logAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		c := connFromContext(r.Context())
		if c != nil && !r.ProtoAtLeast(1, 1) {
			c.resetUntilEnded()
		}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			log := e.log.WithFields(logrus.Fields{"request": platform.RequestID(r), "ms": time.Since(start).Milliseconds()}).
				WithFields(c.abort())
			if cause == http.ErrAbortHandler {
				e.count(endAnswerAborted, 1)
				log.WithField("context", contextState(r.Context())).Info("connection closed without a whole answer")
			} else {
				e.count(endHandlerPanic, 1)
				stack := debug.Stack()
				log.WithField("stack", string(stack[:min(len(stack), maxStack)])).Errorf("handler panicked: %v", cause)
			}
			panic(http.ErrAbortHandler) // makes net/http close the connection
		}()
		next.ServeHTTP(w, r)
		if c != nil {
			c.markEnded()
		}
	})
}

func contextState(ctx context.Context) string {
	if err := ctx.Err(); err != nil {
		return err.Error()
	}
	return "open"
}

// closed logs a connection that net/http has closed before the answer to a request was complete. A
// request that has not reached a handler was incomplete, was malformed (net/http then answers it
// itself), or was being read when the grace period ended.
func (e *connEndRecorder) closed(c *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := c.logFields()
	switch {
	case c.aborted || c.phase == phaseIdle:
		return // logged already, or no request was in progress
	case !c.handled:
		e.count(endRequestUnserved, 1)
		e.log.WithFields(fields).Info("connection ended before a request was handed on")
	case c.writeErr != nil:
		e.count(endAnswerNotSent, 1)
		e.log.WithFields(fields).Info("connection ended before an answer was sent")
	}
}

// logCutOff logs the connections that are closed at the end of the grace period.
func (e *connEndRecorder) logCutOff(conns map[phase]int) {
	e.count(endGrace, conns[phaseIdle]+conns[phaseReceiving]+conns[phaseServing])
	e.log.WithFields(logrus.Fields{
		"idle": conns[phaseIdle], "receiving": conns[phaseReceiving], "serving": conns[phaseServing],
	}).Warn("connections cut off at the end of the grace")
}

// logFields returns the log fields of a connection. c.mu must be held.
func (c *clientConn) logFields() logrus.Fields {
	fields := logrus.Fields{"client": c.RemoteAddr().String(), "phase": c.phase.String(), "phase_ms": time.Since(c.phaseStart).Milliseconds()}
	if c.closing != closeNone {
		fields["over_limit"] = true
	}
	if c.readErr != nil {
		fields["read_error"] = c.readErr.Error()
	}
	if c.writeErr != nil {
		fields["write_error"] = c.writeErr.Error()
	}
	return fields
}

// abort records that a handler has aborted its answer and returns the connection's log fields, nil if
// c is nil.
func (c *clientConn) abort() logrus.Fields {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	return c.logFields()
}
