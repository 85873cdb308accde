package balance

import (
	"math/rand/v2"
	"time"
)

// An engine whose slots and queue are full refuses every request until some of those that it has are done. If instances
// went on sending, each refusal would cost them one of the repeated sends that they share. Therefore an instance does
// not send to an engine that has refused a request as full before it may have room. The first pause is the time in
// which the engine completes one request, and each further refusal doubles it, since other instances take the room as
// well. An engine is not ejected for that, and it is full only for the instance that it has refused.

const (
	// minRoomWait is the shortest pause: a message's way to a server in another failure domain and back.
	minRoomWait = 20 * time.Millisecond
	// maxRoomWait is the longest pause. Room is noticed late by half of it.
	maxRoomWait = 500 * time.Millisecond
	// roomLatencyShare bounds the pause to this part of a request's latency, in which a server completes the same part
	// of what its slots run. So a server without a queue keeps most of its slots busy.
	roomLatencyShare = 0.25
	// roomSpread is the part by which pauses differ, so that instances do not return together.
	roomSpread = 0.25
)

// RunsAtLeast reports whether a server is known to run or queue at least n requests, of which others are those of other
// instances.
func (b *Balancer) RunsAtLeast(id string, others, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		others += s.inFlight
	}
	return others >= n
}

// RecordFull records that a server with the given number of slots has refused a request because it was full. It returns
// until when nothing should be sent to it, and whether it was not known to be full before.
func (b *Balancer) RecordFull(id string, slots int, now time.Time) (until time.Time, began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		s = &serverStats{}
		b.servers[id] = s
	}
	if now.Before(s.fullUntil) {
		return s.fullUntil, false // a refusal of a request that was sent before the first one
	}
	began = s.refusals == 0
	s.fullUntil = now.Add(roomWait(b.requestLatency(id), slots, s.refusals, rand.Float64()))
	s.refusals++
	return s.fullUntil, began
}

// roomWait returns the pause after a refusal by a server that was full, if refusals before it followed each other and a
// request takes the given latency. random in [0, 1) spreads the pauses.
func roomWait(latency time.Duration, slots, refusals int, random float64) time.Duration {
	const maxDoublings = 8
	wait := (latency / time.Duration(max(1, slots))) << min(refusals, maxDoublings)
	wait = min(wait, time.Duration(roomLatencyShare*float64(latency)), maxRoomWait)
	spread := 1 + roomSpread*(2*random-1)
	return max(minRoomWait, time.Duration(spread*float64(wait)))
}

// FullUntil returns until when a server is known to be full; the zero time if it is not.
func (b *Balancer) FullUntil(id string, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil && now.Before(s.fullUntil) {
		return s.fullUntil
	}
	return time.Time{}
}
