package entry

import (
	"context"
	"time"
)

// leave makes the instance leave as on SIGTERM.
func (i *Instance) leave() { i.leaveOnce.Do(func() { close(i.leaveRequested) }) }

// Time limits for leaving.
const (
	// drainShare is the part of the grace period, after which the platform kills the process, that is
	// used to let requests end. Those that have not are then ended with a failure.
	drainShare = 0.9
	// lastAnswersShare is the part of the grace period after that for sending the last answers. The rest is for handing
	// over origins.
	lastAnswersShare = 0.025
	// balancerDelay is how long the platform's load balancer may go on sending new connections after
	// the instance has become unready: two checks one second apart, plus one in flight.
	balancerDelay = 2500 * time.Millisecond
	// maxTakeShare is the part of the time until requests have to end in which the instance takes new ones at most.
	maxTakeShare   = 0.5
	releaseTimeout = time.Second
	// handOverTimeout bounds sending origins. It is shorter than what the shares above leave of usual grace periods.
	handOverTimeout = 500 * time.Millisecond
)

// share returns a part of a time.
func share(part float64, of time.Duration) time.Duration {
	return time.Duration(part * float64(of))
}

// drain makes the instance unready, releases the lease, and lets requests end.
func (i *Instance) drain() {
	start := time.Now()
	i.draining.Store(true)
	i.drainStart.Store(&start)
	i.tunnels.Refuse()
	grace := i.settings.Load().Grace()
	i.log.WithField("grace_ms", grace.Milliseconds()).Info("instance draining")
	i.endRequestsWithinGrace()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	i.follower.stopTakeovers()
	i.holder.Release(ctx)
	i.members.unregister(ctx)
	cancel()
	time.Sleep(time.Until(start.Add(takeTime(grace))))
	i.forwarder.Drain()
	deadline := start.Add(share(drainShare+lastAnswersShare, grace))
	i.clients.drain(deadline)
	ctx, cancel = context.WithDeadline(context.Background(), deadline)
	i.tunnels.Wait(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), handOverTimeout)
	i.origins.handOverAll(ctx)
	cancel()
	i.forwarder.FlushLog()
}

// takeTime returns how long an instance that leaves takes new requests.
func takeTime(grace time.Duration) time.Duration {
	return min(balancerDelay, share(drainShare*maxTakeShare, grace))
}

// endRequestsWithinGrace has requests end before the grace period does, once the instance drains. It is called again when
// the settings change.
func (i *Instance) endRequestsWithinGrace() {
	start := i.drainStart.Load()
	if start == nil {
		return
	}
	alone := len(i.members.namesInDomain(i.members.self.Domain)) < 2
	i.forwarder.EndBy(start.Add(share(drainShare, i.settings.Load().Grace())), alone)
}
