package forward

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// choose returns the server to send to next, waiting for a load if need be.
func (t *trip) choose(ctx context.Context) (serving.Server, *verdict.Failure) {
	if t.service.Engine == nil || t.request.Unit.Model == "" {
		return t.choosePlain(ctx)
	}
	return t.chooseEngine(ctx)
}

// choosePlain picks among all servers of the service, and waits for a turn if need be.
func (t *trip) choosePlain(ctx context.Context) (serving.Server, *verdict.Failure) {
	for {
		servers := t.f.dir.Servers(t.service.Name)
		known := len(servers)
		usable := slices.DeleteFunc(servers, func(s serving.Server) bool { return t.excluded[s.ID] || t.f.guard.Ended(s) })
		open := t.available(usable)
		candidates := make([]balance.Candidate, 0, len(open))
		for _, i := range open {
			s := usable[i]
			candidates = append(candidates, balance.Candidate{ID: s.ID, Domain: s.FailureDomain, Slots: s.Slots, Near: s.FailureDomain == t.f.params.FailureDomain})
		}
		if i := t.f.balancer.Pick(candidates, clock.Now()); i >= 0 {
			return usable[open[i]], nil
		}
		if t.intake.closed.IsZero() {
			return serving.Server{}, t.noServer(known)
		}
		if failure := t.awaitTurn(ctx); failure != nil {
			return serving.Server{}, failure
		}
	}
}

// noServerRetry is told to clients when no server of a service is known: about
// the time in which a new one announces itself.
const noServerRetry = time.Second

func (t *trip) noServer(known int) *verdict.Failure {
	if t.last != nil {
		return t.lastFailure("no other server is left")
	}
	return verdict.Refuse(verdict.ReasonNoReplica, "no server of %s can be asked, of %d known", t.service.Name, known).After(noServerRetry)
}

// chooseEngine picks among the engines that have the unit, or has it loaded.
func (t *trip) chooseEngine(ctx context.Context) (serving.Server, *verdict.Failure) {
	var stop func()
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for {
		server, ready, found := t.bestReplica()
		if found && ready.IsZero() {
			t.waits.ended(t.f.counts)
			return server, t.refuseOverload()
		}
		wait := clock.Until(ready)
		if stop == nil {
			stop = t.f.placer.Waits(t.request.Unit, t.route.Priority, t.onTime(), t.due())
		}
		t.waits.next(serving.WaitLoad)
		if !found || wait <= 0 { // a load that should be done by now is confirmed, see Place
			var failure *verdict.Failure
			server, ready, failure = t.want(ctx, server)
			if failure != nil {
				return serving.Server{}, failure
			}
			wait = clock.Until(ready)
		}
		if server.ID == "" && !t.intake.closed.IsZero() {
			wait = min(wait, clock.Until(t.intake.closed))
		}
		if wait <= 0 && server.ID != "" {
			t.waits.ended(t.f.counts)
			return server, nil
		}
		if failure := t.waitFor(ctx, wait, server.ID != ""); failure != nil {
			return serving.Server{}, failure
		}
	}
}

// diskLoad is how long the request's model takes to load from an engine's disk.
func (t *trip) diskLoad() time.Duration {
	return t.service.Engine.Models[t.request.Unit.Model].LoadTime(serving.TierDisk)
}

// onTime is until when a load from disk that begins leads to an answer within the
// request's objective.
func (t *trip) onTime() time.Time {
	return t.request.Arrived.Add(t.route.Objective - t.diskLoad() - t.f.params.FirstEvent)
}

// lateByLoad is the chance that the request is late if its model has to be loaded
// from an engine's disk: waits for loads vary about as exponentially distributed
// ones do, since they begin when an engine is free.
func (t *trip) lateByLoad() float64 {
	load := t.diskLoad()
	if load <= 0 {
		return 1
	}
	return math.Exp(-t.route.Objective.Seconds() / load.Seconds())
}

// leastWait is the shortest pause before a place is asked for again.
const leastWait = 20 * time.Millisecond

// waitFor waits for a load, or refuses if it will be done too late. While it is not
// decided which engine loads the unit, the wait ends as soon as one has it, and is
// asked about anew from time to time.
func (t *trip) waitFor(ctx context.Context, wait time.Duration, decided bool) *verdict.Failure {
	wait = max(wait, leastWait)
	if failure := t.refuseWait(wait); failure != nil {
		return failure
	}
	started := clock.Now()
	t.waits.expect(wait)
	defer func() { t.waits.add(clock.Since(started)) }()
	if decided {
		return t.pauseFor(ctx, wait)
	}
	for until := started.Add(min(wait, askAnew)); clock.Now().Before(until); {
		if failure := t.pauseFor(ctx, min(lookInterval, clock.Until(until))); failure != nil {
			return failure
		}
		if _, _, found := t.bestReplica(); found {
			return nil
		}
	}
	return nil
}

// While a request waits and no engine is chosen yet, it looks each lookInterval for
// one that the holder has told of since, and asks the holder anew after askAnew: the
// prospect may have turned bad, or what it was told of is free sooner. Requests that
// slept for as long as they had been told lost .029 +- .007 of worth (24 pairs of days
// on the users' platform).
const (
	lookInterval = 50 * time.Millisecond
	askAnew      = 500 * time.Millisecond
)

// bestReplica picks among the engines known to have the unit or to get it.
func (t *trip) bestReplica() (serving.Server, time.Time, bool) {
	now := clock.Now()
	usable := t.openReplicas(now)
	candidates := make([]balance.Candidate, 0, len(usable))
	for _, r := range usable {
		candidates = append(candidates, balance.Candidate{
			ID: r.Server.ID, Domain: r.Server.FailureDomain, Slots: r.Server.Slots, Others: r.Others, Age: r.Age, Wait: max(0, r.Ready.Sub(now)),
			Near: r.Server.FailureDomain == t.f.params.FailureDomain,
		})
	}
	t.only = len(candidates) == 1 && usable[0].Ready.IsZero()
	t.markAffine(candidates)
	i := t.f.balancer.Pick(candidates, now)
	if i < 0 {
		return serving.Server{}, time.Time{}, false
	}
	return usable[i].Server, usable[i].Ready, true
}

// openReplicas returns the replicas to which the request may be sent, as far as is known.
func (t *trip) openReplicas(now time.Time) []directory.Replica {
	replicas := slices.DeleteFunc(t.f.dir.Replicas(t.service.Name, t.request.Unit, now), func(r directory.Replica) bool {
		return t.excluded[r.Server.ID] || t.f.guard.Ended(r.Server)
	})
	servers := make([]serving.Server, 0, len(replicas))
	for _, r := range replicas {
		servers = append(servers, r.Server)
	}
	open := t.available(servers)
	chosen := make([]directory.Replica, 0, len(open))
	for _, i := range open {
		chosen = append(chosen, replicas[i])
	}
	return chosen
}

// markAffine marks the replica that gets requests with the same start of the
// prompt, chosen by hash (rendezvous) so that instances agree on it.
func (t *trip) markAffine(candidates []balance.Candidate) {
	if len(t.request.PromptParts) < affineParts || len(candidates) < 2 {
		return
	}
	prefix := t.request.Unit.String()
	for _, part := range t.request.PromptParts[:affineParts] {
		prefix += "," + part
	}
	best, bestHash := 0, uint64(0)
	for i, c := range candidates {
		if h := xxhash.Sum64String(prefix + "@" + c.ID); h >= bestHash {
			best, bestHash = i, h
		}
	}
	candidates[best].Affine = true
}

// affineParts is how many parts of a prompt are taken as shared: the last one
// belongs to the request, the first is shared most widely.
const affineParts = 1
