package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// release is a plan of replacing engines by ones of a newer software version while all instances are killed.
type release struct {
	version string
	engines []int
	// keepsID has the engines that start again under their IDs, and gaps the pause after each replacement.
	keepsID map[int]bool
	gaps    []time.Duration
	// killBefore is the number of replacements before all instances are killed, and startAfter that after which they
	// start again.
	killBefore, startAfter int
}

// Times of a release.
const (
	minReplaceGap, maxReplaceGap = 100 * time.Millisecond, 500 * time.Millisecond
	// releaseAftermath is how long streams of engines that are gone may be taken up and cannot go on.
	releaseAftermath = 3 * time.Second
	// releaseStream selects the random numbers of releases.
	releaseStream = 4
	// sameIDShare is the share of engines that start again under their IDs, as 1 in sameIDShare.
	sameIDShare = 3
)

// drawRelease draws a release of half or all engines. The instances are killed before, amid or after the replacements.
func drawRelease(random *rand.Rand, version string, engines int) release {
	rel := release{version: version, engines: random.Perm(engines), keepsID: map[int]bool{}}
	if random.IntN(2) == 0 {
		rel.engines = rel.engines[:(engines+1)/2]
	}
	for _, i := range rel.engines {
		rel.keepsID[i] = random.IntN(sameIDShare) == 0
		rel.gaps = append(rel.gaps, minReplaceGap+time.Duration(random.Int64N(int64(maxReplaceGap-minReplaceGap))))
	}
	n := len(rel.engines)
	rel.killBefore = random.IntN(n + 1)
	rel.startAfter = rel.killBefore + random.IntN(n-rel.killBefore+1)
	return rel
}

// firstRelease is the number of the first version that a release brings: engines start with versions below it.
const firstRelease = 3

// releaseFault replaces engines by ones of a newer version, and kills all instances at the same time.
func (r *run) releaseFault(ctx context.Context) fault {
	random := rand.New(rand.NewPCG(r.params.Seed, releaseStream))
	rel := drawRelease(random, fmt.Sprintf("v%d", firstRelease), r.params.Engines)
	var wg sync.WaitGroup
	begin := func() {
		r.disturbances.begin(engineService)
		wg.Go(func() { r.carryOut(ctx, rel) })
	}
	end := func() {
		wg.Wait()
		pause.For(ctx, releaseAftermath)
		r.disturbances.end(engineService)
	}
	return fault{fmt.Sprintf("newer engines %v, all instances killed before %d and back after %d", rel.engines, rel.killBefore, rel.startAfter), begin, end}
}

// carryOut carries a release out.
func (r *run) carryOut(ctx context.Context, rel release) {
	for n := range len(rel.engines) + 1 {
		if n == rel.killBefore {
			r.killInstances()
			pause.For(ctx, allDownTime)
		}
		if n == rel.startAfter {
			r.startInstances()
		}
		if n == len(rel.engines) {
			return
		}
		engine := rel.engines[n]
		r.replaceEngine(ctx, engine, engineStart{version: rel.version, keepsID: rel.keepsID[engine], loaded: firstModels(engine)})
		pause.For(ctx, rel.gaps[n])
	}
}

// allDownTime is how long all instances are down at least.
const allDownTime = time.Second

// killInstances kills all instances at once.
func (r *run) killInstances() {
	var wg sync.WaitGroup
	for _, e := range r.entries {
		wg.Go(func() { e.stop(syscall.SIGKILL, time.Second) })
	}
	wg.Wait()
}

// startInstances starts the instances that do not run.
func (r *run) startInstances() {
	for _, e := range r.entries {
		_ = e.start() // a failed start shows up in the recovery checks
	}
}
