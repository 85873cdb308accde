package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/martenport/martenport/command/continuation"
	"github.com/martenport/martenport/directory"
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
	memory   RunMemory
	loadable func(ctx context.Context, service, model string) []string
	set      *metrics.Set

	mu     sync.Mutex
	ledger *continuation.Ledger // guarded by mu
}

// newBackups returns backups, or nil without a RunMemory.
func newBackups(d Dependencies) *backups {
	if d.Memory == nil {
		return nil
	}
	b := &backups{memory: d.Memory, loadable: d.Loadable, set: d.Counts.set, ledger: continuation.NewLedger(continuation.DefaultLimits())}
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
// has the unit or, if there is none, one that can load it in time. Its ID is empty if there is none.
func (t *transaction) reserveBackup(ctx context.Context, engine serving.Server) serving.Server {
	targets := t.backupTargets(t.replicaTargets())
	if !slices.ContainsFunc(targets, func(c continuation.Target) bool { return c.ID != engine.ID }) {
		targets = t.backupTargets(t.loadableTargets(ctx))
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

// backupTargets returns those of the replicas that may keep a backup.
func (t *transaction) backupTargets(replicas []directory.Replica) []continuation.Target {
	var targets []continuation.Target
	for _, r := range replicas {
		s := r.Server
		if !t.excluded[s.ID] && !t.isLeaving(s) && !t.f.guard.Crashed(s) {
			targets = append(targets, continuation.Target{ID: s.ID, FailureDomain: s.FailureDomain, Running: r.Others, Slots: s.Slots})
		}
	}
	return targets
}

// replicaTargets returns the engines that have the unit.
func (t *transaction) replicaTargets() []directory.Replica {
	return slices.DeleteFunc(t.f.dir.Replicas(t.service.Name, t.request.Unit, clock.Now()), func(r directory.Replica) bool { return !r.Ready.IsZero() })
}

// loadableTargets returns the engines that have the weights of the model in their memory or on their
// disk, and can load them before the backup lapses and the client leaves.
func (t *transaction) loadableTargets(ctx context.Context) []directory.Replica {
	patience := t.service.Engine.BackupTTL
	if idle := t.route.ClientIdleTimeout; idle > 0 {
		patience = min(patience, idle)
	}
	if t.f.backups.loadable == nil || t.request.Unit.Adapter != "" || maxLoadShare*t.diskLoadTime() > patience {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.route.Objective/loadableShare)
	defer cancel()
	var found []directory.Replica
	for _, id := range t.f.backups.loadable(ctx, t.service.Name, t.request.Unit.Model) {
		if s, known := t.f.dir.Server(id); known {
			found = append(found, directory.Replica{Server: s})
		}
	}
	return found
}

// loadableShare bounds the query for engines that can load a model, which delays the stream: the
// query may take this fraction of its objective.
const loadableShare = 20

// maxLoadShare is how many times the load of a model must fit into the time that a broken stream has
// to go on: the engine may first have to unload another model.
const maxLoadShare = 2
