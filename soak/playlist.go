package soak

import (
	"context"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// plays are the orders of faults.
var plays = slices.Concat(changePlays, killPlays, outOfStepPlays, garbagePlays)

// changePlays are orders of faults around a change of versions.
var changePlays = []play{
	{name: "replaced-while-down", versions: oneVersion, models: commonModels, act: replacedWhileDown(false)},
	{name: "replaced-while-down-same-id", versions: oneVersion, models: commonModels, act: replacedWhileDown(true)},
	{name: "replaced-while-load-waits", versions: oneVersion, loaded: [][]string{{"m1"}, {"m3"}}, models: []string{"m1"}, load: slowLoad, maxPause: shortPause, act: replacedWhileLoadWaits},
	{name: "replaced-while-frozen", versions: oneVersion, models: commonModels, act: replacedWhileFrozen},
	{name: "replaced-while-cut-off", versions: oneVersion, models: commonModels, act: replacedWhileCutOff},
	{name: "added", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, act: added(holderUndisturbed)},
	{name: "added-while-cut-off", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, act: added(holderCutOff)},
	{name: "updated-in-place", versions: oneVersion, models: commonModels, omitsStart: true, maxPause: shortPause, act: updatedInPlace},
	{name: "replaced-while-store-down", versions: oneVersion, models: commonModels, act: replacedWhileStoreDown},
	{name: "canary-without-holder", versions: oneVersion, models: commonModels, act: canaryWithoutHolder},
	{name: "killed-with-two", versions: twoVersions, models: commonModels, act: killedWithTwo(false)},
	{name: "killed-after-old-left", versions: twoVersions, models: commonModels, act: killedWithTwo(true)},
	{name: "killed-with-two-restored", versions: oneVersion, models: commonModels, act: killedAndRestored(false)},
	{name: "killed-after-old-left-restored", versions: oneVersion, models: commonModels, act: killedAndRestored(true)},
	{name: "holder-killed-as-second-appears", versions: oneVersion, models: commonModels, act: holderLost(holderKilled, false)},
	{name: "holder-cut-off-as-second-appears", versions: oneVersion, models: commonModels, act: holderLost(holderCutOff, false)},
	{name: "holder-killed-and-old-left", versions: oneVersion, models: commonModels, act: holderLost(holderKilled, true)},
	{name: "holder-cut-off-and-old-left", versions: oneVersion, models: commonModels, act: holderLost(holderCutOff, true)},
}

// manyEntries is a number of instances of which few keep the origin of a stream.
const manyEntries = 8

// slowLoad is a load that takes longer than usual, and shortPause a pause of clients that take a stream up at once.
const slowLoad, shortPause = 800 * time.Millisecond, 20 * time.Millisecond

// updatedTime is how long two versions serve after an update in place.
const updatedTime = 5 * time.Second

// Versions of the engines at the start, and the models that some of them have loaded.
var (
	oneVersion   = []string{"v1", "v1"}
	twoVersions  = []string{"v1", "v1", "v2", "v2"}
	commonModels = []string{"m1", "m2", "m3"}
)

// replacedWhileDown has all engines replaced while all instances are down.
func replacedWhileDown(sameID bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.killInstances()
		var replaced sync.WaitGroup
		for i := range p.servers {
			replaced.Go(func() {
				p.replaceEngine(ctx, i, engineStart{version: "v2", keepsID: sameID, loaded: firstModels(i)})
			})
		}
		pause.For(ctx, allDownTime)
		replaced.Wait()
		p.startInstances()
		p.releaseTakeUps()
	}
}

// replacedWhileLoadWaits has the only engine with a model end; while requests wait for another one of its version to load
// it, one of another version appears that has it.
func replacedWhileLoadWaits(ctx context.Context, p *playRun) {
	p.removeEngine(ctx, 0)
	p.releaseTakeUps()
	pause.For(ctx, p.upTo(300*time.Millisecond))
	p.addEngine("v2", "m1")
}

// replacedWhileFrozen has an engine start again under its ID with another version while an instance is frozen.
func replacedWhileFrozen(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	p.entries[0].signal(syscall.SIGSTOP)
	p.replaceEngine(ctx, 0, engineStart{version: "v2", keepsID: true, loaded: firstModels(0)})
	pause.For(ctx, p.upTo(time.Second))
	p.entries[0].signal(syscall.SIGCONT)
}

// replacedWhileCutOff has an engine start again under its ID with another version while an instance is cut off from the
// store.
func replacedWhileCutOff(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	p.storeProxies[0].setMode(blockBoth)
	p.replaceEngine(ctx, 0, engineStart{version: "v2", keepsID: true, loaded: firstModels(0)})
	pause.For(ctx, 2*time.Second)
	p.storeProxies[0].setMode(passAll)
}

// updatedInPlace has an engine start again under its ID with another version. Clients take streams up while both versions serve.
func updatedInPlace(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	p.replaceEngine(ctx, 0, engineStart{version: "v2", keepsID: true, omitsStart: true, loaded: firstModels(0)})
	pause.For(ctx, updatedTime)
}

// added has engines of a second version, which have models loaded, appear after the lease holder is cut off from the store,
// if how says so. Clients take their streams up at once.
func added(how string) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.releaseTakeUps()
		end := p.disturbHolder(p.leaseHolder(ctx), how)
		pause.For(ctx, p.upTo(time.Second))
		p.addNew()
		pause.For(ctx, 2*time.Second+p.upTo(time.Second))
		end()
	}
}

// replacedWhileStoreDown has an engine start again under its ID with another version while the store is down.
func replacedWhileStoreDown(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	p.setStoreFault("down=true")
	p.replaceEngine(ctx, 0, engineStart{version: "v2", keepsID: true, loaded: firstModels(0)})
	pause.For(ctx, time.Second+p.upTo(time.Second))
	p.setStoreFault("down=false")
}

// canaryWithoutHolder has engines of a second version come and leave while the lease holder is cut off from the store, and
// all instances killed then.
func canaryWithoutHolder(ctx context.Context, p *playRun) {
	end := p.disturbHolder(p.leaseHolder(ctx), holderCutOff)
	p.addNew()
	pause.For(ctx, time.Second+p.upTo(time.Second))
	for i := range oneVersion {
		p.removeEngine(ctx, len(oneVersion)+i)
	}
	p.killInstances()
	pause.For(ctx, allDownTime)
	end()
	p.startInstances()
	p.releaseTakeUps()
}

// killedWithTwo has all instances killed while two versions serve, or just after the older one has left.
func killedWithTwo(oldLeaves bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		if oldLeaves {
			p.removeOld(ctx)
			pause.For(ctx, p.upTo(300*time.Millisecond))
		}
		p.killInstances()
		pause.For(ctx, allDownTime)
		p.startInstances()
		p.releaseTakeUps()
	}
}

// removeOld removes the first two engines.
func (p *playRun) removeOld(ctx context.Context) {
	for i := range oneVersion {
		p.removeEngine(ctx, i)
	}
}

// addNew adds two engines of a second version.
func (p *playRun) addNew() {
	for i := range oneVersion {
		p.addEngine("v2", firstModels(i)...)
	}
}

// killedAndRestored has a second version appear, the old one leave if oldLeaves is set, and all instances killed as the
// store comes back from a copy that is older than the second version.
func killedAndRestored(oldLeaves bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		p.postStoreFault(url.Values{"copy": {"true"}})
		p.addNew()
		pause.For(ctx, minCopyAge+p.upTo(time.Second))
		if oldLeaves {
			p.removeOld(ctx)
		}
		p.setStoreFault("down=true")
		pause.For(ctx, restoreDowntime)
		p.postStoreFault(url.Values{"restore": {"true"}, "again": {"config/"}})
		p.setStoreFault("down=false")
		if oldLeaves { // the copy has the entries of engines that are gone
			for i := range oneVersion {
				p.removeServerEntry(ctx, i)
			}
		}
		p.killInstances()
		pause.For(ctx, allDownTime)
		p.startInstances()
		p.releaseTakeUps()
	}
}

// holderLost has the lease holder killed or cut off from the store as a second version appears, and all instances killed
// a second later, after the old version has left if oldLeaves is set.
func holderLost(how string, oldLeaves bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		end := p.disturbHolder(p.leaseHolder(ctx), how)
		p.addNew()
		pause.For(ctx, time.Second+p.upTo(time.Second))
		if oldLeaves {
			p.removeOld(ctx)
		}
		p.killInstances()
		pause.For(ctx, allDownTime)
		end()
		p.startInstances()
		p.releaseTakeUps()
	}
}
