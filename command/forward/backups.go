package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/command/continuation"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// RunMemory calls engines about the memory of runs.
type RunMemory interface {
	// RunState returns whether an engine still works on the request with the given ID.
	RunState(ctx context.Context, s serving.Server, id string) serving.RunState
	// FreeBackup lets an engine drop the backup of the request with the given ID.
	FreeBackup(ctx context.Context, s serving.Server, id string) error
}

// engineCallTimeout bounds a call to an engine about the memory of a run.
const engineCallTimeout = 300 * time.Millisecond

// backups are the backups that engines keep for streams of this instance.
type backups struct {
	memory RunMemory
	set    *metrics.Set

	mu     sync.Mutex
	ledger *continuation.Ledger // guarded by mu
}

// newBackups returns backups, or nil without a RunMemory.
func newBackups(d Dependencies) *backups {
	if d.Memory == nil {
		return nil
	}
	b := &backups{memory: d.Memory, set: d.Counts.set, ledger: continuation.NewLedger(continuation.DefaultLimits())}
	b.set.NewGauge("martenport_stream_backups", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.ledger.InUse())
	})
	return b
}

func (b *backups) reserve(s serving.Server, targets []continuation.Target) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.ledger.Reserve(s.ID, s.FailureDomain, targets)
	found := "kept"
	if id == "" {
		found = "none"
	}
	b.set.GetOrCreateCounter(`martenport_stream_backups_total{backup="` + found + `"}`).Inc()
	return id
}

func (b *backups) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Release(id)
}

func (b *backups) count(o continuation.Outcome) {
	b.set.GetOrCreateCounter(`martenport_continuations_total{outcome="` + string(o) + `"}`).Inc()
}

// reserveBackup returns the engine that keeps the backup of a stream on the given engine: one that
// has the unit and the engine's software version, since only there the stream can go on. Its ID is empty if there is none.
func (t *transaction) reserveBackup(engine serving.Server) serving.Server {
	var targets []continuation.Target
	for _, r := range t.f.dir.Replicas(t.service.Name, t.request.Unit, clock.Now()) {
		s := r.Server
		if s.Version == engine.Version && r.Ready.IsZero() && !t.excluded[s.ID] && !t.isLeaving(s) && !t.f.guard.Crashed(s) {
			targets = append(targets, continuation.Target{ID: s.ID, FailureDomain: s.FailureDomain, Running: r.Others, Slots: s.Slots})
		}
	}
	if n := uint64(len(targets)); n > 0 { // instances that know the same begin at different engines
		first := xxhash.Sum64String(t.request.ID) % n
		targets = slices.Concat(targets[first:], targets[:first])
	}
	id := t.f.backups.reserve(engine, targets)
	if id == "" {
		return serving.Server{}
	}
	s, known := t.f.dir.Server(id)
	if !known {
		t.f.backups.release(id)
	}
	return s
}
