package dispatch

import (
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/routing"
)

// timedSink passes tokens on and tells the balancer when they came.
type timedSink struct {
	Sink
	balancer *routing.Balancer
	server   string
	prompt   int
	start    time.Time
	first    time.Time
	tokens   int
}

// timed wraps the sink of an attempt that starts now.
func (d *Dispatcher) timed(server string, req Request, sink Sink) *timedSink {
	return &timedSink{Sink: sink, balancer: d.balancer, server: server, prompt: len(req.Prompt), start: time.Now()}
}

// Token implements Sink.
func (s *timedSink) Token(t backend.Token) error {
	s.tokens++
	if s.first.IsZero() {
		s.first = time.Now()
		s.balancer.FirstToken(s.server, s.prompt, s.first.Sub(s.start))
	}
	return s.Sink.Token(t)
}

// finish tells the balancer the pace of a whole answer.
func (s *timedSink) finish() {
	s.balancer.Finished(s.server, s.tokens, time.Since(s.first))
}
