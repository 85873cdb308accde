package dispatch

import (
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/routing"
)

// timedSink forwards tokens to a Sink and reports their timing to the balancer.
type timedSink struct {
	Sink
	balancer *routing.Balancer
	server   string
	prompt   int       // size of the prompt in bytes
	start    time.Time // of the attempt
	first    time.Time // arrival of the first token; zero before it
	tokens   int       // number of tokens received
}

// newTimedSink wraps the sink of an attempt that starts now.
func (d *Dispatcher) newTimedSink(server string, req Request, sink Sink) *timedSink {
	return &timedSink{Sink: sink, balancer: d.balancer, server: server, prompt: len(req.Prompt), start: time.Now()}
}

// Token implements Sink.
func (s *timedSink) Token(t backend.Token) error {
	s.tokens++
	if s.first.IsZero() {
		s.first = time.Now()
		s.balancer.ObserveFirstToken(s.server, s.prompt, s.first.Sub(s.start))
	}
	return s.Sink.Token(t)
}

// finish reports the token rate of a complete answer to the balancer.
func (s *timedSink) finish() {
	s.balancer.ObserveAnswer(s.server, s.tokens, time.Since(s.first))
}
