package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// killPlays are orders of faults in which the instances are killed or stopped at the moment when the versions change, or
// more than once.
var killPlays = []play{
	{name: "killed-as-second-appears", versions: oneVersion, models: commonModels, act: killedAsSecondAppears(secondStays)},
	{name: "killed-as-canary-appears", versions: oneVersion, models: commonModels, act: killedAsSecondAppears(secondLeaves)},
	{name: "killed-as-canary-begins", versions: oneVersion, models: commonModels, act: killedAsCanaryBegins},
	{name: "killed-as-second-replaces", versions: oneVersion, models: commonModels, act: killedAsSecondAppears(firstLeaves)},
	{name: "killed-as-canary-appears-store-slow", versions: oneVersion, models: commonModels, act: withStore("delay=400ms", "delay=0s", killedAsSecondAppears(secondLeaves))},
	{name: "killed-as-canary-appears-others-refused", versions: oneVersion, models: commonModels, act: othersRefused(killedAsSecondAppears(secondLeaves))},
	{name: "killed-twice", versions: twoVersions, models: commonModels, act: killedTwice(false)},
	{name: "killed-twice-and-old-left", versions: twoVersions, models: commonModels, act: killedTwice(true)},
	{name: "killed-while-store-down", versions: twoVersions, models: commonModels, act: killedWhileStoreDown},
	{name: "killed-some-refused", versions: twoVersions, models: commonModels, act: othersRefused(killedWithTwo(true))},
	{name: "stopped-in-turn-while-replaced", versions: oneVersion, models: commonModels, act: stoppedInTurn},
	{name: "stopped-in-turn-before-second", versions: oneVersion, models: commonModels, act: stoppedBeforeSecond},
	{name: "old-version-returns", versions: oneVersion, models: commonModels, act: oldVersionReturns},
	{name: "three-versions-killed", versions: []string{"v1", "v1", "v2", "v2", "v3"}, models: commonModels, act: killedWithTwo(true)},
	{name: "holder-frozen-through-release", versions: oneVersion, models: commonModels, act: holderFrozenThroughRelease},
	{name: "marks-removed", versions: oneVersion, models: commonModels, act: marksChanged(removeMark)},
	{name: "marks-without-certainty", versions: oneVersion, models: commonModels, act: marksChanged(emptyMark)},
}

// What becomes of the versions after the second one has appeared and all instances are killed.
const (
	secondStays = iota
	secondLeaves
	firstLeaves
)

// maxAppearTime is how long a second version is announced at most when all instances are killed, and entryCheckInterval
// how often the store is asked whether it is.
const maxAppearTime, entryCheckInterval = 500 * time.Millisecond, 5 * time.Millisecond

// maxBegunTime is how long streams begin at a second version at most when all instances are killed.
const maxBegunTime = 200 * time.Millisecond

// awaitEntry waits until a server that was added is announced.
func (p *playRun) awaitEntry(ctx context.Context, server int) {
	key := platform.PrefixServers + p.software.id(server, 0)
	for began := time.Now(); time.Since(began) < recoveryTimeout; {
		if _, err := p.client.Get(ctx, key); err == nil || !pause.For(ctx, entryCheckInterval) {
			return
		}
	}
}

// killedAsSecondAppears has all instances killed when engines of a second version have just appeared.
func killedAsSecondAppears(then int) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.addNew()
		p.awaitEntry(ctx, len(oneVersion))
		pause.For(ctx, p.upTo(maxAppearTime))
		p.killedAnd(ctx, then)
	}
}

// killedAnd has all instances killed, and engines of one version leave while no instance runs, or all stay.
func (p *playRun) killedAnd(ctx context.Context, then int) {
	p.killInstances()
	switch then {
	case secondLeaves:
		p.removeNew(ctx)
	case firstLeaves:
		p.removeOld(ctx)
	}
	pause.For(ctx, allDownTime)
	p.startInstances()
	p.releaseTakeUps()
}

// killedAsCanaryBegins has all instances killed as the first streams have begun at engines of a second version, which leave
// while no instance runs.
func killedAsCanaryBegins(ctx context.Context, p *playRun) {
	p.addNew()
	probing, begun := context.WithCancel(ctx)
	defer begun()
	var probes sync.WaitGroup
	for entry := range p.entries {
		random := rand.New(rand.NewPCG(p.params.Seed, uint64(playStream+playClients+1+entry)))
		probes.Go(func() {
			p.awaitStream(probing, random, entry)
			begun()
		})
	}
	<-probing.Done()
	pause.For(ctx, p.upTo(maxBegunTime))
	p.killedAnd(ctx, secondLeaves)
	probes.Wait()
}

// awaitStream begins streams at an instance until one has an event of the second version.
func (p *playRun) awaitStream(ctx context.Context, random *rand.Rand, entry int) {
	began := time.Now()
	for n := 0; time.Since(began) < recoveryTimeout && ctx.Err() == nil; n++ {
		req := clientRequest{id: fmt.Sprintf("probe-%d-%d", entry, n), route: "stream", model: p.chosen.models[random.IntN(len(p.chosen.models))], key: steadyKey, leaveAfter: 1}
		p.sendTo(entry, &req)
		if slices.Contains(req.versions, "v2") {
			return
		}
	}
}

// removeNew removes the engines that addNew has added.
func (p *playRun) removeNew(ctx context.Context) {
	for i := range oneVersion {
		p.removeEngine(ctx, len(oneVersion)+i)
	}
}

// withStore has the store disturbed during another order of faults.
func withStore(fault, end string, act func(ctx context.Context, p *playRun)) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.setStoreFault(fault)
		act(ctx, p)
		p.setStoreFault(end)
	}
}

// othersRefused has the store serve one instance only, which is not the lease holder, during another order of faults.
func othersRefused(act func(ctx context.Context, p *playRun)) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		served := (p.leaseHolder(ctx) + 1) % len(p.entries)
		for i, proxy := range p.storeProxies {
			if i != served {
				proxy.setMode(resetConns)
			}
		}
		act(ctx, p)
		for _, proxy := range p.storeProxies {
			proxy.setMode(passAll)
		}
	}
}

// killedTwice has all instances killed while two versions serve or the older one has left, and again just after they are
// back.
func killedTwice(oldLeaves bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.killInstances()
		pause.For(ctx, allDownTime)
		p.startInstances()
		pause.For(ctx, p.upTo(2*time.Second))
		if oldLeaves {
			p.removeOld(ctx)
		}
		p.killInstances()
		pause.For(ctx, allDownTime)
		p.startInstances()
		p.releaseTakeUps()
	}
}

// killedWhileStoreDown has all instances killed while two versions serve and the store is down.
func killedWhileStoreDown(ctx context.Context, p *playRun) {
	p.removeOld(ctx)
	p.setStoreFault("down=true")
	pause.For(ctx, p.upTo(time.Second))
	p.killInstances()
	pause.For(ctx, allDownTime)
	p.startInstances()
	p.releaseTakeUps()
	pause.For(ctx, p.upTo(time.Second))
	p.setStoreFault("down=false")
}

// stoppedInTurn has all instances stopped and started in turn while the engines are replaced by newer ones.
func stoppedInTurn(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	var restarts sync.WaitGroup
	for i, e := range p.entries {
		restarts.Go(func() {
			e.stop(syscall.SIGTERM, gracePeriod)
			_ = e.start() // a failed start shows up as a play in which nothing goes on
		})
		pause.For(ctx, p.upTo(maxAppearTime))
		if i < len(oneVersion) {
			p.replaceEngine(ctx, i, engineStart{version: "v2", loaded: firstModels(i)})
		}
	}
	restarts.Wait()
}

// stoppedBeforeSecond has all instances stopped and started in turn just before engines of a second version appear. The old
// ones stay.
func stoppedBeforeSecond(ctx context.Context, p *playRun) {
	for _, e := range p.entries {
		e.stop(syscall.SIGTERM, gracePeriod)
		_ = e.start() // a failed start shows up as a play in which nothing goes on
		pause.For(ctx, allDownTime)
	}
	p.addNew()
	p.awaitEntry(ctx, len(oneVersion))
	pause.For(ctx, p.upTo(maxAppearTime))
	p.releaseTakeUps()
}

// oldVersionReturns has the engines replaced by newer ones, and by older ones again as all instances are down.
func oldVersionReturns(ctx context.Context, p *playRun) {
	replace := func(version string) {
		for i := range oneVersion {
			p.replaceEngine(ctx, i, engineStart{version: version, loaded: firstModels(i)})
		}
	}
	replace("v2")
	pause.For(ctx, p.upTo(2*time.Second))
	p.killInstances()
	replace("v1")
	pause.For(ctx, allDownTime)
	p.startInstances()
	p.releaseTakeUps()
}

// holderFrozenThroughRelease has the lease holder frozen while the engines are replaced by newer ones, and all other
// instances killed just after it goes on.
func holderFrozenThroughRelease(ctx context.Context, p *playRun) {
	holder := max(0, p.leaseHolder(ctx))
	p.entries[holder].signal(syscall.SIGSTOP)
	p.addNew()
	pause.For(ctx, p.upTo(4*time.Second))
	p.removeOld(ctx)
	p.entries[holder].signal(syscall.SIGCONT)
	p.releaseTakeUps()
	pause.For(ctx, p.upTo(maxAppearTime))
	for i, e := range p.entries {
		if i != holder {
			e.stop(syscall.SIGKILL, time.Second)
		}
	}
	pause.For(ctx, allDownTime)
	p.startInstances()
}

// prefixMarks is the store's prefix of the marks of software versions.
const prefixMarks = "stream-versions/"

// marksChanged has the marks in the store changed by somebody else, and all instances killed and all engines replaced by
// newer ones.
func marksChanged(change func(ctx context.Context, p *playRun, mark store.Object)) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.killInstances()
		if snap, err := p.client.List(ctx, prefixMarks); err == nil {
			for _, mark := range snap.Objects {
				change(ctx, p, mark)
			}
		}
		for i := range oneVersion {
			p.replaceEngine(ctx, i, engineStart{version: "v2", loaded: firstModels(i)})
		}
		pause.For(ctx, allDownTime)
		p.startInstances()
		p.releaseTakeUps()
	}
}

func removeMark(ctx context.Context, p *playRun, mark store.Object) {
	_ = p.client.Delete(ctx, mark.Key, mark.Version)
}

func emptyMark(ctx context.Context, p *playRun, mark store.Object) {
	_, _ = p.client.Put(ctx, mark.Key, []byte(`{}`), mark.Version)
}
