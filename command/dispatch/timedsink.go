package dispatch

import (
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/routing"
)

// timedSink forwards tokens to a Sink and reports their timing to the balancer.
type timedSink struct {
	Sink
	balancer     *routing.Balancer
	server       string
	promptBytes  int       // size of the prompt in bytes
	start        time.Time // of the attempt
	firstTokenAt time.Time // arrival of the first token; zero until then
	tokens       int       // number of tokens received
}

// newTimedSink wraps the sink of an attempt that starts now.
func (d *Dispatcher) newTimedSink(server string, req Request, sink Sink) *timedSink {
	return &timedSink{Sink: sink, balancer: d.balancer, server: server, promptBytes: len(req.Prompt), start: time.Now()}
}

// Token implements Sink.
func (s *timedSink) Token(t backend.Token) error {
	s.tokens++
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = time.Now()
		s.balancer.ObserveFirstToken(s.server, s.promptBytes, s.firstTokenAt.Sub(s.start))
	}
	return s.Sink.Token(t)
}

// finish reports a complete answer to the balancer: the number of its tokens and the time since its
// first token. The balancer ignores the time if there were fewer than two tokens.
func (s *timedSink) finish() {
	s.balancer.ObserveAnswer(s.server, s.tokens, time.Since(s.firstTokenAt))
}
