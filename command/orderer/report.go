package orderer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/placement"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/table"
)

// loadGap is the shortest time between two publications of an engine's load.
// Each goes to every instance of the failure domain; what changes faster is
// known to each instance from its own requests.
const loadGap = time.Second

// reportTimeout bounds one wait for a report.
const reportTimeout = 3 * time.Second

// poll waits for one report and takes it in.
func (o *Orderer) poll(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.engine.Report(ctx, after)
	if err != nil {
		o.missed(ctx)
		return after, err
	}
	if report.Leaving && o.env.Tables.Engines.MarkLeaving(o.declared.Name) {
		o.event(event.KindLeaving, "", "word of the engine")
	}
	if err := o.take(ctx); err != nil {
		return after, err
	}
	defer o.give()
	if o.Active() {
		o.apply(report)
	}
	return report.Sequence, nil
}

// maxMissed is how many reports in a row fail before the engine counts as
// unreachable.
const maxMissed = 3

// missed notes that a report failed.
func (o *Orderer) missed(ctx context.Context) {
	if o.take(context.WithoutCancel(ctx)) != nil {
		return
	}
	defer o.give()
	o.misses++
	if o.misses == maxMissed && o.Active() {
		o.publish()
	}
}

// apply brings the ledger, the history and the tables up to a report.
func (o *Orderer) apply(report backend.Report) {
	if o.past[report.Incarnation] {
		return // it was made before the engine restarted
	}
	if report.Incarnation == o.report.Incarnation && report.Sequence < o.report.Sequence {
		return // an older report that arrived late
	}
	o.misses = 0
	o.meet(report.Incarnation)
	before := o.phases()
	o.report = report
	o.ledger.ApplyReport(report, time.Now())
	o.countDoubtful()
	for _, id := range report.Orders {
		delete(o.unresolved, id)
	}
	o.noteLoaded(before)
	o.noteUse()
	o.publish()
	o.publishLoad(report)
	o.changed.wake()
}

func (o *Orderer) phases() map[string]placement.Phase {
	out := make(map[string]placement.Phase, len(o.ledger.Entries))
	for id, e := range o.ledger.Entries {
		out[id] = e.Phase
	}
	return out
}

func (o *Orderer) noteLoaded(before map[string]placement.Phase) {
	for id, e := range o.ledger.Entries {
		was := before[id]
		if e.Phase == placement.Resident && (was == placement.Ordered || was == placement.Loading) {
			o.history.RecordReady(id, e.ReadyAt)
			o.event(event.KindLoaded, id, "")
		}
	}
}

func (o *Orderer) noteUse() {
	for id, e := range o.ledger.Entries {
		o.history.RecordUse(id, e.LastUsed)
	}
}

// publish puts the engine's residency into the tables if it changed.
func (o *Orderer) publish() {
	next := o.residency()
	last := o.published
	last.Version = 0
	if sameResidency(last, next) {
		return
	}
	if o.published.Epoch == next.Epoch {
		next.Version = o.published.Version
	}
	next.Version++
	o.published = next
	o.env.Tables.Engines.MergeResidency([]table.Residency{next})
}

func (o *Orderer) residency() table.Residency {
	r := table.Residency{
		Engine: o.declared.Name, FailureDomain: o.declared.FailureDomain,
		Orderer: o.env.Instance, Epoch: o.record.Epoch,
		Held: slices.Sorted(maps.Keys(o.held)), Doubtful: o.doubtfulUnits(),
		Leaving: o.report.Leaving, Unreachable: o.misses >= maxMissed, Incarnation: o.report.Incarnation,
		MemoryBytes: int64(o.declared.Memory), UsedBytes: o.ledger.Used(),
		Cached: maps.Clone(o.report.Tiers),
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(o.ledger.Entries)) {
		e := o.ledger.Entries[id]
		r.Units = append(r.Units, table.UnitState{Unit: e.Unit, State: stateOf(e.Phase)})
		if o.env.Policy.Evictable(e, now) {
			r.IdleBytes += e.MemoryBytes
		}
	}
	return r
}

func (o *Orderer) doubtfulUnits() []string {
	var out []string
	for _, c := range o.record.DoubtfulClaims() {
		out = append(out, c.Unit.ID())
	}
	return out
}

func stateOf(p placement.Phase) backend.State {
	switch p {
	case placement.Resident:
		return backend.Resident
	case placement.Unloading:
		return backend.Unloading
	default:
		return backend.Loading
	}
}

func sameResidency(a, b table.Residency) bool {
	return a.Epoch == b.Epoch && a.Leaving == b.Leaving && a.Unreachable == b.Unreachable && a.Incarnation == b.Incarnation &&
		a.Orderer == b.Orderer && a.UsedBytes == b.UsedBytes && a.IdleBytes == b.IdleBytes &&
		slices.Equal(a.Units, b.Units) && slices.Equal(a.Held, b.Held) &&
		slices.Equal(a.Doubtful, b.Doubtful) && maps.Equal(a.Cached, b.Cached)
}

func (o *Orderer) publishLoad(r backend.Report) {
	known, _ := o.env.Tables.Engines.Get(o.declared.Name)
	same := known.Load.Queue == r.Queue && known.Load.Running == r.Running && known.Load.Epoch == o.record.Epoch
	if same || time.Since(o.loadAt) < loadGap {
		return
	}
	o.loadAt = time.Now()
	o.loads++
	o.env.Tables.Engines.MergeLoad([]table.Load{{
		Engine: o.declared.Name, Epoch: o.record.Epoch, Version: o.loads,
		Queue: r.Queue, Running: r.Running,
	}})
}

// broadcast wakes all who wait for the next change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{} // guarded by mu
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
