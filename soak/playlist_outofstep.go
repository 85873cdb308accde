package soak

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/store"
)

// outOfStepPlays are orders of faults in which one instance is out of step as engines of a second version appear, which have
// models loaded. Streams begin at others and are taken up at it at once, or the other way round.
var outOfStepPlays = []play{
	{name: "frozen-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, act: frozenAsAdded},
	{name: "alone-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: cutOffAsAdded(allOthers)},
	{name: "cut-off-from-some-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: cutOffAsAdded(someOthers)},
	{name: "cut-off-from-store-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: withoutStoreAsAdded(nobodyElse)},
	{name: "cut-off-from-store-and-some-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: withoutStoreAsAdded(someOthers)},
	{name: "relay-alone-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: relayAloneAsAdded(false)},
	{name: "relay-alone-others-late-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: relayAloneAsAdded(true)},
	{name: "relay-and-holder-alone-others-late-as-second-appears", versions: oneVersion, models: commonModels, entries: manyEntries, maxPause: shortPause, peerLinks: true, act: relayAndHolderAloneAsAdded},
}

// outOfStep is an instance that is out of step for some time. It takes streams up that began elsewhere, or relays those that
// are taken up elsewhere.
type outOfStep struct {
	entry       int
	relays      bool
	from, until time.Time
}

// exposes reports whether a stream was taken up as the instance was out of step, or just after it.
func (o *outOfStep) exposes(attempts []clientRequest) bool {
	first, second := attempts[0], attempts[1]
	if (first.entry == o.entry) != o.relays || (second.entry == o.entry) == o.relays {
		return false
	}
	return second.sentAt.After(o.from) && second.sentAt.Before(o.until)
}

// Times of these plays.
const (
	// minFrozen and maxFrozen bound how long an instance is frozen, and wakeLead is how long before its end clients begin to take
	// streams up there.
	minFrozen, maxFrozen = 500 * time.Millisecond, 4 * time.Second
	wakeLead             = 100 * time.Millisecond
	// maxAloneTime bounds how long an instance is cut off from others when the engines appear. It then reads the store itself.
	maxAloneTime = 2500 * time.Millisecond
	// withoutStoreTime is how long an instance is cut off from the store: less than it relies on what it read before.
	withoutStoreTime = 2900 * time.Millisecond
	// minBesideTime is how long two versions serve before an instance is in step again.
	minBesideTime = 1500 * time.Millisecond
)

// Which of the other instances an instance is cut off from.
const (
	nobodyElse = iota
	someOthers
	allOthers
)

// setOutOfStep has streams begin at all instances but one, which is drawn, and be taken up there; with relays it is the other
// way round.
func (p *playRun) setOutOfStep(relays bool) int {
	entry := p.random.IntN(len(p.entries))
	p.outOfStep = &outOfStep{entry: entry, relays: relays, from: time.Now()}
	if relays {
		p.beginsAt.Store(int64(entry + 1))
		p.avoided.Store(int64(entry + 1))
	} else {
		p.beginsElsewhere.Store(int64(entry + 1))
	}
	p.releaseTakeUps()
	return entry
}

// takeUpThere has clients take most streams up at the instance that is out of step.
func (p *playRun) takeUpThere() { p.concentrated.Store(int64(p.outOfStep.entry + 1)) }

// setInStep has clients choose instances as usual, after those that are at it have taken their streams up.
func (p *playRun) setInStep(ctx context.Context) {
	pause.For(ctx, time.Second)
	p.outOfStep.until = time.Now()
	p.beginsAt.Store(0)
	p.beginsElsewhere.Store(0)
	p.avoided.Store(0)
	p.concentrated.Store(0)
}

// frozenAsAdded has an instance frozen as the engines appear. Clients take streams up there from the moment it goes on.
func frozenAsAdded(ctx context.Context, p *playRun) {
	entry := p.setOutOfStep(false)
	frozen := minFrozen + p.upTo(maxFrozen-minFrozen)
	until := time.Now().Add(frozen)
	p.entries[entry].signal(syscall.SIGSTOP)
	pause.For(ctx, p.upTo(max(wakeLead, frozen-minBesideTime)))
	p.addNew()
	pause.For(ctx, time.Until(until)-wakeLead)
	p.takeUpThere()
	pause.For(ctx, time.Until(until))
	p.entries[entry].signal(syscall.SIGCONT)
	p.setInStep(ctx)
}

// cutOffAsAdded has an instance cut off from others, and its watches late, as the engines appear.
func cutOffAsAdded(from int) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		entry := p.setOutOfStep(false)
		others := p.drawOthers(entry, p.leaseHolder(ctx), from)
		p.setPeerLinks(entry, others, blockBoth)
		p.setLate(p.drawDelay(), entry)
		p.takeUpThere()
		pause.For(ctx, p.upTo(maxAloneTime))
		p.addNew()
		pause.For(ctx, minBesideTime+p.upTo(minBesideTime))
		p.setPeerLinks(entry, others, passAll)
		p.setLate(0, entry)
		p.setInStep(ctx)
	}
}

// withoutStoreAsAdded has an instance cut off from the store, and from others, and their watches late, as the engines appear.
func withoutStoreAsAdded(from int) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		entry := p.setOutOfStep(false)
		others := p.drawOthers(entry, p.leaseHolder(ctx), from)
		until := time.Now().Add(withoutStoreTime)
		p.storeProxies[entry].setMode(blockBoth)
		p.setPeerLinks(entry, others, blockBoth)
		late := p.allBut(entry)
		p.setLate(p.drawDelay(), late...)
		p.takeUpThere()
		pause.For(ctx, p.upTo(maxAppearTime))
		p.addNew()
		pause.For(ctx, time.Until(until))
		p.storeProxies[entry].setMode(passAll)
		p.setPeerLinks(entry, others, passAll)
		p.setLate(0, late...)
		p.setInStep(ctx)
	}
}

// relayAloneAsAdded has the instance at which all streams begin cut off from all others, which lose what it sent, as the engines
// appear. With othersLate the watches of all others are late.
func relayAloneAsAdded(othersLate bool) func(ctx context.Context, p *playRun) {
	return func(ctx context.Context, p *playRun) {
		entry := p.setOutOfStep(true)
		p.relayAlone(ctx, []int{entry}, othersLate)
	}
}

// relayAndHolderAloneAsAdded does the same, but the lease holder is cut off with the instance.
func relayAndHolderAloneAsAdded(ctx context.Context, p *playRun) {
	entry := p.setOutOfStep(true)
	p.relayAlone(ctx, []int{entry, p.leaseHolder(ctx)}, true)
}

// relayAlone cuts instances off from all others as the engines appear.
func (p *playRun) relayAlone(ctx context.Context, alone []int, othersLate bool) {
	others := slices.DeleteFunc(p.allBut(alone[0]), func(i int) bool { return slices.Contains(alone, i) })
	setLinks := func(m mode) {
		for _, entry := range alone {
			if entry >= 0 { // there may be no holder
				p.setPeerLinks(entry, others, m)
			}
		}
	}
	setLinks(blockBoth)
	if othersLate {
		p.setLate(p.drawDelay(), others...)
	}
	pause.For(ctx, p.upTo(maxAloneTime))
	p.addNew()
	pause.For(ctx, minBesideTime+p.upTo(minBesideTime))
	setLinks(resetConns)
	setLinks(passAll)
	p.setLate(0, others...)
	p.setInStep(ctx)
}

// allBut returns all instances but one.
func (p *playRun) allBut(entry int) []int {
	var others []int
	for i := range p.entries {
		if i != entry {
			others = append(others, i)
		}
	}
	return others
}

// drawOthers returns the other instances that one is cut off from. The lease holder is among some of them.
func (p *playRun) drawOthers(entry, holder, from int) []int {
	others := p.allBut(entry)
	switch from {
	case nobodyElse:
		return nil
	case someOthers:
		kept := p.random.IntN(2)
		return slices.DeleteFunc(others, func(i int) bool { return i != holder && (i+kept)%2 == 0 })
	default:
		return others
	}
}

// setPeerLinks changes how traffic between an instance and others is treated.
func (p *playRun) setPeerLinks(entry int, others []int, m mode) {
	for _, other := range others {
		p.setPeerLink(entry, other, m)
	}
}

// drawDelay returns how late watches are.
func (p *playRun) drawDelay() time.Duration {
	return store.MaxWatchDelay/2 + p.upTo(store.MaxWatchDelay/2)
}

// setLate makes the watches of instances late.
func (p *playRun) setLate(delay time.Duration, entries ...int) {
	for _, entry := range entries {
		p.postStoreFault(url.Values{"late": {fmt.Sprint(delay)}, "watcher": {p.storeWatcher(entry)}})
	}
}
