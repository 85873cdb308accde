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

// connEnds logs and counts what ends a client's connection without a whole
// answer. Without these lines it cannot be told from the logs who ended it.
type connEnds struct {
	log logrus.FieldLogger
	set *metrics.Set
}

// The ends of connections, as counted.
const (
	endCut      = "answer_cut"
	endPanic    = "panic"
	endUnserved = "request_unserved"
	endNotTaken = "answer_not_taken"
	endLimit    = "limit"
	endGrace    = "grace"
)

func (e *connEnds) count(end string, n int) {
	e.set.GetOrCreateCounter(`martenport_client_connection_ends_total{end="` + end + `"}`).Add(n)
}

// maxStack bounds the part of a stack that is logged.
const maxStack = 4 << 10

// report logs requests whose handler gives up. net/http then closes the
// connection without a word.
func (e *connEnds) report(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			log := e.log.WithFields(logrus.Fields{"request": platform.RequestID(r), "ms": time.Since(began).Milliseconds()}).
				WithFields(connOf(r.Context()).giveUp())
			if cause == http.ErrAbortHandler {
				e.count(endCut, 1)
				log.WithField("context", contextEnd(r.Context())).Info("connection closed without a whole answer")
			} else {
				e.count(endPanic, 1)
				stack := debug.Stack()
				log.WithField("stack", string(stack[:min(len(stack), maxStack)])).Errorf("handler panicked: %v", cause)
			}
			panic(http.ErrAbortHandler) // has net/http close the connection
		}()
		next.ServeHTTP(w, r)
	})
}

func contextEnd(ctx context.Context) string {
	if err := ctx.Err(); err != nil {
		return err.Error()
	}
	return "open"
}

// closed logs a connection that net/http has closed before the answer to a request
// was whole. A request that is not handed on was not whole, not well formed (net/http
// then answers itself), or read as all was cut off at the end of the grace.
func (e *connEnds) closed(c *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := c.fields()
	switch {
	case c.cut || c.phase == phaseIdle:
		return // logged, or nothing was under way
	case !c.handled:
		e.count(endUnserved, 1)
		e.log.WithFields(fields).Info("connection ended before a request was handed on")
	case c.writeErr != nil:
		e.count(endNotTaken, 1)
		e.log.WithFields(fields).Info("connection ended before an answer was sent")
	}
}

// reportLeft logs the connections that are cut off at the end of the grace.
func (e *connEnds) reportLeft(left map[phase]int) {
	e.count(endGrace, left[phaseIdle]+left[phaseReceiving]+left[phaseServing])
	e.log.WithFields(logrus.Fields{
		"idle": left[phaseIdle], "receiving": left[phaseReceiving], "serving": left[phaseServing],
	}).Warn("connections cut off at the end of the grace")
}

// fields are what is logged of a connection. c.mu must be held.
func (c *clientConn) fields() logrus.Fields {
	fields := logrus.Fields{"client": c.RemoteAddr().String(), "phase": c.phase.String(), "phase_ms": time.Since(c.since).Milliseconds()}
	if c.ending != endNone {
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

// giveUp notes that a handler has given an answer up, and returns what is
// logged of its connection, nil without one.
func (c *clientConn) giveUp() logrus.Fields {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	return c.fields()
}
