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

// choose returns the server to send to next. It waits if the model has to be loaded first, or if all
// servers are at their limits or have set a Retry-After.
func (t *transaction) choose(ctx context.Context) (serving.Server, *verdict.Failure) {
	if t.service.Engine == nil || t.request.Unit.Model == "" {
		return t.choosePlain(ctx)
	}
	return t.chooseEngine(ctx)
}

// choosePlain picks among all servers of the service. It waits if all of them are at their limits or
// have set a Retry-After.
func (t *transaction) choosePlain(ctx context.Context) (serving.Server, *verdict.Failure) {
	for {
		if failure := t.versionFailure(); failure != nil {
			return serving.Server{}, failure
		}
		servers := t.f.dir.Servers(t.service.Name)
		known := len(servers)
		usable := slices.DeleteFunc(servers, func(s serving.Server) bool {
			return t.excluded[s.ID] || !t.fitsVersion(s) || t.f.guard.Crashed(s)
		})
		usable = withoutHeldBack(t, usable, func(s serving.Server) (serving.Server, bool) { return s, true })
		open := t.availableServers(usable)
		candidates := make([]balance.Candidate, 0, len(open))
		for _, i := range open {
			s := usable[i]
			candidates = append(candidates, balance.Candidate{ID: s.ID, Domain: s.FailureDomain, Slots: s.Slots, SameDomain: s.FailureDomain == t.f.params.FailureDomain})
		}
		if i := t.f.balancer.Pick(candidates, clock.Now()); i >= 0 {
			return usable[open[i]], nil
		}
		if t.serverLimits.nextAvailable.IsZero() {
			return serving.Server{}, t.noServer(known)
		}
		if failure := t.awaitTurn(ctx); failure != nil {
			return serving.Server{}, failure
		}
	}
}

// noServerRetryAfter is the Retry-After sent if no server of a service is known: about the time
// within which a new server announces itself.
const noServerRetryAfter = time.Second

// noServer returns the failure of a request for which no server is left. known is the number of
// servers of the service.
func (t *transaction) noServer(known int) *verdict.Failure {
	if t.last != nil {
		return t.lastFailure("no other server is left")
	}
	return verdict.Refuse(verdict.ReasonNoReplica, "no server of %s can be asked, of %d known", t.service.Name, known).WithRetryAfter(noServerRetryAfter)
}

// chooseEngine picks among the engines that have the unit, or requests that the unit be loaded.
func (t *transaction) chooseEngine(ctx context.Context) (serving.Server, *verdict.Failure) {
	var stop func()
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for {
		if failure := t.versionFailure(); failure != nil {
			return serving.Server{}, failure
		}
		server, ready, found := t.bestReplica()
		if found && ready.IsZero() {
			t.waits.recordEstimateError(t.f.counts)
			return server, t.refuseOverload(server)
		}
		if !found && !t.roomAt.IsZero() {
			if failure := t.awaitRoom(ctx); failure != nil {
				return serving.Server{}, failure
			}
			continue
		}
		wait := clock.Until(ready)
		if stop == nil {
			stop = t.f.placer.RegisterWait(t.request.Unit, t.route.Priority, t.latestOnTimeLoad(), t.nextOutputDeadline())
		}
		t.waits.setCause(serving.WaitLoad)
		if !found || wait <= 0 { // the holder has to confirm a load that should be complete by now, see Place
			var failure *verdict.Failure
			server, ready, failure = t.requestPlace(ctx, server)
			if failure != nil {
				return serving.Server{}, failure
			}
			wait = clock.Until(ready)
		}
		if server.ID == "" && !t.serverLimits.nextAvailable.IsZero() {
			if t.roomWaitOver(clock.Now()) {
				return serving.Server{}, t.heldBackFailure(t.search.returnAfter())
			}
			wait = min(wait, clock.Until(t.serverLimits.nextAvailable))
		}
		if wait <= 0 && server.ID != "" {
			t.waits.recordEstimateError(t.f.counts)
			return server, nil
		}
		if failure := t.waitForLoad(ctx, wait, server.ID != ""); failure != nil {
			return serving.Server{}, failure
		}
	}
}

// diskLoadTime returns how long the request's model takes to load from an engine's disk.
func (t *transaction) diskLoadTime() time.Duration {
	return t.service.Engine.Models[t.request.Unit.Model].LoadTime(serving.TierDisk)
}

// latestOnTimeLoad returns the latest time at which a load from disk can begin and still lead to an
// answer within the request's objective.
func (t *transaction) latestOnTimeLoad() time.Time {
	return t.request.Arrived.Add(t.route.Objective - t.diskLoadTime() - t.f.params.FirstEvent)
}

// lateProbability returns the probability that the request misses its objective if its model has to
// be loaded from an engine's disk. Waiting times for loads are approximately exponentially
// distributed, since a load begins when an engine becomes free; the load time is used as their mean.
func (t *transaction) lateProbability() float64 {
	load := t.diskLoadTime()
	if load <= 0 {
		return 1
	}
	return math.Exp(-t.route.Objective.Seconds() / load.Seconds())
}

// minLoadWait is the shortest pause before a place is requested again.
const minLoadWait = 20 * time.Millisecond

// waitForLoad waits for a load, or refuses the request if the load will complete too late. While no
// engine is chosen for the load (decided is false), the wait ends as soon as some engine has the
// unit, and at the latest after placeRefreshInterval so that the place is requested again.
func (t *transaction) waitForLoad(ctx context.Context, wait time.Duration, decided bool) *verdict.Failure {
	wait = max(wait, minLoadWait)
	if failure := t.lateLoadFailure(wait); failure != nil {
		return failure
	}
	started := clock.Now()
	t.waits.setEstimate(wait)
	defer func() { t.waits.add(clock.Since(started)) }()
	if decided {
		return t.pauseFor(ctx, wait)
	}
	for until := started.Add(min(wait, placeRefreshInterval)); clock.Now().Before(until); {
		if failure := t.pauseFor(ctx, min(replicaPollInterval, clock.Until(until))); failure != nil {
			return failure
		}
		if _, _, found := t.bestReplica(); found {
			return nil
		}
	}
	return nil
}

// While a request waits and no engine is chosen yet, it checks every replicaPollInterval for an
// engine that the holder has reported since, and asks the holder again after placeRefreshInterval:
// the estimate may have become worse, or the engine that the first answer was based on may be free
// earlier. When requests slept for the whole time first estimated, the score was lower by
// .029 +- .007 (24 paired runs on the users' platform).
const (
	replicaPollInterval  = 50 * time.Millisecond
	placeRefreshInterval = 500 * time.Millisecond
)

// bestReplica picks among the engines known to have the unit or to be loading it.
func (t *transaction) bestReplica() (serving.Server, time.Time, bool) {
	now := clock.Now()
	usable := t.availableReplicas(now)
	candidates := make([]balance.Candidate, 0, len(usable))
	for _, r := range usable {
		candidates = append(candidates, balance.Candidate{
			ID: r.Server.ID, Domain: r.Server.FailureDomain, Slots: r.Server.Slots, OthersInFlight: r.Others, ReportAge: r.Age, Wait: max(0, r.Ready.Sub(now)),
			SameDomain: r.Server.FailureDomain == t.f.params.FailureDomain, Speed: t.f.balancer.Speed(r.Server, now), Urgent: t.urgent(),
		})
	}
	t.soleReplica = len(candidates) == 1 && usable[0].Ready.IsZero()
	t.markAffine(candidates)
	i := t.f.balancer.Pick(candidates, now)
	if i < 0 {
		return serving.Server{}, time.Time{}, false
	}
	return usable[i].Server, usable[i].Ready, true
}

// availableReplicas returns the replicas to which the request may be sent, according to the current
// state of the directory and the server limits.
func (t *transaction) availableReplicas(now time.Time) []directory.Replica {
	replicas := t.withoutFull(t.replicas(now), now)
	replicas = slices.DeleteFunc(replicas, func(r directory.Replica) bool {
		return t.excluded[r.Server.ID] || t.f.guard.Crashed(r.Server)
	})
	servers := make([]serving.Server, 0, len(replicas))
	for _, r := range replicas {
		servers = append(servers, r.Server)
	}
	open := t.availableServers(servers)
	chosen := make([]directory.Replica, 0, len(open))
	for _, i := range open {
		chosen = append(chosen, replicas[i])
	}
	return chosen
}

// markAffine marks the replica that should receive requests with the same prompt prefix. It is
// chosen by rendezvous hashing, so that all instances choose the same one.
func (t *transaction) markAffine(candidates []balance.Candidate) {
	if len(t.request.PromptParts) < affinityParts || len(candidates) < 2 {
		return
	}
	prefix := t.request.Unit.String()
	for _, part := range t.request.PromptParts[:affinityParts] {
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

// affinityParts is the number of leading prompt parts that are hashed: the last part is specific to
// the request, and the first one is shared by most requests.
const affinityParts = 1
