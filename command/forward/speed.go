package forward

import (
	"time"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/serving"
)

// streamSpeed follows the events of one attempt's stream, see balance.SpeedSample.
type streamSpeed struct {
	server serving.Server
	level  balance.LoadLevel
	// relative is the engine's speed that was known when the request was sent, 1 for the usual one.
	relative    float64
	resumed     bool
	events      int
	first, last time.Time
	// writing is the time spent on writing to the client.
	writing time.Duration
}

// maxWritingShare is the part of a stream's time that writing to the client may take in a sample: an engine cannot send
// faster than its client reads.
const maxWritingShare = 0.2

// beginSpeedSample begins to follow the stream of an attempt.
func (t *transaction) beginSpeedSample(server serving.Server, now time.Time) {
	if t.request.Unit.Model == "" {
		return
	}
	t.speed = streamSpeed{
		server: server, resumed: t.out.order.lastID != "", relative: t.f.balancer.Speed(server, now),
		level: t.f.balancer.LoadLevel(server.ID, t.othersOn(server.ID, now), server.Slots),
	}
}

// recordEvent records that an event was received.
func (s *streamSpeed) recordEvent(now time.Time) {
	if s.events == 0 {
		s.first = now
	}
	s.events++
	s.last = now
}

// recordWrite records how long it took to write an event to the client.
func (s *streamSpeed) recordWrite(d time.Duration) { s.writing += d }

// endSpeedSample records the sample of a stream that the engine has ended. A resumed stream is none, since its engine may
// repeat events that it has made before; nor is the stream of a client that reads slowly.
func (t *transaction) endSpeedSample(now time.Time) {
	s := t.speed
	between := s.last.Sub(s.first)
	if s.server.ID == "" || s.resumed || s.writing.Seconds() > maxWritingShare*between.Seconds() {
		return
	}
	if sample, ok := balance.NewSpeedSample(s.server.ID, s.server.Born, t.request.Unit.Model, s.level, s.events, between); ok {
		t.f.balancer.RecordSpeed(sample, now)
	}
}

// slowestFirstEvents is how many times the usual time to the first event an engine may take that is as slow as can be
// learnt, with as much again for what it already runs.
const slowestFirstEvents = 8

// urgent reports whether the request may miss its objective because its engine is slow.
func (t *transaction) urgent() bool {
	return t.route.Objective > 0 && t.route.Objective < slowestFirstEvents*t.f.params.FirstEvent
}
