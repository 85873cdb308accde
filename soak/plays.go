package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
)

// A play is a fixed order of faults while the software version of the engines changes. Clients take their streams up
// several times, and no stream may have events of two versions. The seed selects the times within the play.

// Sizes and times of a play.
const (
	playEntries, playClients = 3, 40
	// playWarmUp is the time from the first requests to the first fault, and playEnd that from the last fault to the end.
	playWarmUp, playEnd = 1500 * time.Millisecond, 6 * time.Second
	// holdTime is how long clients take no stream up before the first fault, so that many wait for it.
	holdTime = time.Second
	// playLeaveShare is the share of streams that clients leave, as 1 in playLeaveShare.
	playLeaveShare = 2
	// playStream selects the random numbers of a play.
	playStream = 30000
)

// play is an order of faults. Its engines start with version v1 unless it names others.
type play struct {
	name     string
	versions []string
	// loaded are the models that each engine has loaded at the start; the usual ones if nil.
	loaded [][]string
	// models are those that clients ask for.
	models []string
	// entries is the number of instances; playEntries if 0.
	entries int
	// load is how long a load takes, and maxPause the longest pause before a client takes a stream up; the usual ones if 0.
	load, maxPause time.Duration
	// omitsStart is set if the engines announce no start, and peerLinks if instances can be cut off from each other.
	omitsStart, peerLinks bool
	act                   func(ctx context.Context, p *playRun)
}

// playRun is a run of a play.
type playRun struct {
	*run
	random *rand.Rand
	chosen play

	mu sync.Mutex
	// takeUpsAllowed is closed when clients may take up the streams that begin now; guarded by mu.
	takeUpsAllowed chan struct{}
	// releaseTakeUps allows the held take-ups.
	releaseTakeUps func()

	// beginsAt is the instance at which all streams begin, and beginsElsewhere one at which none does, plus 1; 0 for none.
	beginsAt, beginsElsewhere atomic.Int64
	// outOfStep is the instance that is out of step, in plays with one; set before the result is counted.
	outOfStep *outOfStep

	requests [][]clientRequest // the attempts at each stream; guarded by mu
	faultAt  time.Time         // when the first fault began; set before the result is counted
}

// PlayResult counts the streams of a play.
type PlayResult struct {
	// Streams began. Clients took TakenUp of them up. Exposed began before the first fault and were taken up after it; in plays
	// with an instance that is out of step, they began at others and were taken up at it, or the other way round. Newer of these
	// began at a version that came during the play, and WentOn brought further events. Joined have events of two software
	// versions. Invalid have something that is no part of their answer.
	Streams, TakenUp, Exposed, Newer, WentOn int
	Joined, Invalid                          []string
}

// PlayNames returns the names of the plays.
func PlayNames() []string {
	var names []string
	for _, p := range plays {
		names = append(names, p.name)
	}
	return names
}

// RunPlay runs a play. An error means that the soak itself failed.
func RunPlay(ctx context.Context, params Params, name string) (PlayResult, error) {
	n := slices.IndexFunc(plays, func(p play) bool { return p.name == name })
	if n < 0 {
		return PlayResult{}, errors.Newf("soak: no play %q among %v", name, PlayNames())
	}
	chosen := plays[n]
	params.Entries, params.Engines, params.PlainServers = cmp.Or(chosen.entries, playEntries), len(chosen.versions), 0
	r := newRun(params, fmt.Sprintf("play-%s-%d", name, params.Seed))
	subnetClaim, err := r.prepare()
	if err != nil {
		return PlayResult{}, err
	}
	defer subnetClaim.Close()
	if chosen.peerLinks {
		if err := r.startPeerLinks(); err != nil {
			return PlayResult{}, err
		}
	}
	for i, version := range chosen.versions {
		r.software.set(i, engineStart{version: version, omitsStart: chosen.omitsStart, loaded: chosen.loadedAt(i), load: chosen.load})
	}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return PlayResult{}, err
	}
	p := &playRun{run: r, random: rand.New(rand.NewPCG(params.Seed, playStream)), chosen: chosen, takeUpsAllowed: make(chan struct{})}
	close(p.takeUpsAllowed)
	p.perform(ctx)
	return p.result(), nil
}

// loadedAt returns the models that an engine has loaded at the start.
func (p *play) loadedAt(engine int) []string {
	if p.loaded == nil {
		return firstModels(engine)
	}
	return p.loaded[engine]
}

// perform runs the clients and the faults.
func (p *playRun) perform(ctx context.Context) {
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for c := range playClients {
		random := rand.New(rand.NewPCG(p.params.Seed, uint64(playStream+1+c)))
		clients.Go(func() {
			conns := openConns{}
			defer conns.close()
			for n := 0; pause.For(clientCtx, clientPause); n++ {
				p.stream(ctx, random, conns, fmt.Sprintf("play-%d-%d", c, n))
			}
		})
	}
	pause.For(ctx, playWarmUp+p.upTo(300*time.Millisecond))
	p.holdTakeUps()
	pause.For(ctx, holdTime)
	p.faultAt = time.Now()
	p.chosen.act(ctx, p)
	p.releaseTakeUps()
	pause.For(ctx, playEnd)
	stopClients()
	clients.Wait()
}

// stream begins a stream at a random instance, and takes it up if the client leaves it or it breaks off.
func (p *playRun) stream(ctx context.Context, random *rand.Rand, conns openConns, id string) {
	req := clientRequest{id: id, conns: conns, route: "stream", model: p.chosen.models[random.IntN(len(p.chosen.models))], key: steadyKey, payload: "body-of-" + id}
	if random.IntN(playLeaveShare) == 0 {
		req.leaveAfter = leaveAfter
	}
	p.mu.Lock()
	allowed := p.takeUpsAllowed
	p.mu.Unlock()
	p.sendTo(p.drawBeginning(random), &req)
	attempts := []clientRequest{req}
	select {
	case <-allowed:
	case <-ctx.Done():
	}
	p.takeStreamUp(ctx, random, req, cmp.Or(p.chosen.maxPause, maxTakeUpPause), func(again clientRequest) { attempts = append(attempts, again) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, attempts)
}

// result counts the streams.
func (p *playRun) result() PlayResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result PlayResult
	for _, attempts := range p.requests {
		first, last := attempts[0], attempts[len(attempts)-1]
		if first.events() > 0 {
			result.Streams++
		}
		if len(attempts) > 1 {
			result.TakenUp++
		}
		if first.events() > 0 && len(attempts) > 1 && p.exposes(attempts) {
			result.Exposed++
			if !slices.Contains(p.chosen.versions, first.versions[0]) {
				result.Newer++
			}
			if last.events() > first.events() {
				result.WentOn++
			}
		}
		for _, v := range last.versionViolations() {
			result.Joined = append(result.Joined, v.Detail)
		}
		for _, attempt := range attempts {
			for _, v := range append(attempt.bodyViolations(), attempt.joinedViolations()...) {
				result.Invalid = append(result.Invalid, v.Detail)
			}
		}
	}
	slices.Sort(result.Joined)
	slices.Sort(result.Invalid)
	return result
}

// exposes reports whether the attempts at a stream that was taken up are what the play is about.
func (p *playRun) exposes(attempts []clientRequest) bool {
	if p.outOfStep != nil {
		return p.outOfStep.exposes(attempts)
	}
	return attempts[0].sentAt.Before(p.faultAt) && attempts[len(attempts)-1].sentAt.After(p.faultAt)
}

// drawBeginning returns the instance at which a stream begins.
func (p *playRun) drawBeginning(random *rand.Rand) int {
	if entry := p.beginsAt.Load(); entry > 0 {
		return int(entry - 1)
	}
	entry := random.IntN(len(p.entries))
	if int64(entry+1) == p.beginsElsewhere.Load() {
		return (entry + 1) % len(p.entries)
	}
	return entry
}

// upTo returns a random duration below d.
func (p *playRun) upTo(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}

// holdTakeUps makes clients wait before they take streams up that begin from now on, until releaseTakeUps is called.
func (p *playRun) holdTakeUps() {
	held := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeUpsAllowed, p.releaseTakeUps = held, sync.OnceFunc(func() { close(held) })
}

// addEngine starts a further engine.
func (p *playRun) addEngine(version string, loaded ...string) {
	i := len(p.servers)
	p.params.Engines++
	p.software.set(i, engineStart{version: version, loaded: loaded})
	_ = p.startServer(i) // a failed start shows up as a play in which nothing goes on
}
