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

// minLoadInterval is the shortest time between two publications of an engine's load. Each of them
// is sent to every instance of the failure domain; each instance knows faster changes from its own
// requests.
const minLoadInterval = time.Second

// reportTimeout bounds one call for a report.
const reportTimeout = 3 * time.Second

// poll waits for a report newer than sequence number after and applies it. It returns the sequence
// number of the report, or after if the call failed.
func (o *Orderer) poll(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.engine.Report(ctx, after)
	if err != nil {
		o.reportFailed(ctx)
		return after, err
	}
	if report.Leaving && o.env.Tables.Engines.MarkLeaving(o.declared.Name) {
		o.recordEvent(event.KindBackendLeaving, "", "word of the engine")
	}
	if err := o.lock(ctx); err != nil {
		return after, err
	}
	defer o.unlock()
	if o.Active() {
		o.applyReport(report)
	}
	return report.Sequence, nil
}

// maxFailedReports is the number of consecutive failed polls after which the engine counts as
// unreachable.
const maxFailedReports = 3

// reportFailed records a failed poll and publishes the residency when the engine becomes
// unreachable.
func (o *Orderer) reportFailed(ctx context.Context) {
	if o.lock(context.WithoutCancel(ctx)) != nil {
		return
	}
	defer o.unlock()
	o.failedReports++
	if o.failedReports == maxFailedReports && o.Active() {
		o.publish()
	}
}

// applyReport updates the ledger, the usage history and the tables from a report. o.mutex must be
// held.
func (o *Orderer) applyReport(report backend.Report) {
	if o.pastIncarnations[report.Incarnation] {
		return // from before the engine restarted
	}
	if report.Incarnation == o.report.Incarnation && report.Sequence < o.report.Sequence {
		return // an older report, delivered out of order
	}
	o.failedReports = 0
	o.observeIncarnation(report.Incarnation)
	before := o.phases()
	o.report = report
	o.ledger.ApplyReport(report, time.Now())
	o.countDoubtful()
	for _, id := range report.Orders {
		delete(o.unresolved, id)
	}
	o.recordLoaded(before)
	o.recordUse()
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

func (o *Orderer) recordLoaded(before map[string]placement.Phase) {
	for id, e := range o.ledger.Entries {
		previous := before[id]
		if e.Phase == placement.Resident && (previous == placement.Ordered || previous == placement.Loading) {
			o.history.RecordReady(id, e.ReadyAt)
			o.recordEvent(event.KindLoaded, id, "")
		}
	}
}

func (o *Orderer) recordUse() {
	for id, e := range o.ledger.Entries {
		o.history.RecordUse(id, e.LastUsed)
	}
}

// publish writes the engine's residency to the tables if it changed. o.mutex must be held.
func (o *Orderer) publish() {
	next := o.residency()
	last := o.publishedResidency
	last.Version = 0
	if sameResidency(last, next) {
		return
	}
	if o.publishedResidency.Epoch == next.Epoch {
		next.Version = o.publishedResidency.Version
	}
	next.Version++
	o.publishedResidency = next
	o.env.Tables.Engines.MergeResidency([]table.Residency{next})
}

func (o *Orderer) residency() table.Residency {
	r := table.Residency{
		Engine: o.declared.Name, FailureDomain: o.declared.FailureDomain,
		Orderer: o.env.Instance, Epoch: o.record.Epoch,
		Held: slices.Sorted(maps.Keys(o.heldSlots)), Doubtful: o.doubtfulUnits(),
		Leaving: o.report.Leaving, Unreachable: o.failedReports >= maxFailedReports, Incarnation: o.report.Incarnation,
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
	view, _ := o.env.Tables.Engines.Get(o.declared.Name)
	same := view.Load.Queue == r.Queue && view.Load.Running == r.Running && view.Load.Epoch == o.record.Epoch
	if same || time.Since(o.loadPublishedAt) < minLoadInterval {
		return
	}
	o.loadPublishedAt = time.Now()
	o.loadVersion++
	o.env.Tables.Engines.MergeLoad([]table.Load{{
		Engine: o.declared.Name, Epoch: o.record.Epoch, Version: o.loadVersion,
		Queue: r.Queue, Running: r.Running,
	}})
}

// broadcast wakes all goroutines that wait for the next change.
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
