package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// crashGuard gives the forwarder the state of requests under which servers ended. It implements
// forward.Guard.
type crashGuard struct {
	*crashDetector
	follower *follower
}

// State implements forward.Guard.
func (g *crashGuard) State(fp serving.Fingerprint, service string) quarantine.State {
	state := g.ledger.State(fp)
	if state != quarantine.Quarantined {
		return state
	}
	for _, s := range g.dir.Servers(service) {
		if onVersion := g.ledger.StateOnVersion(fp, s.Version); onVersion != quarantine.Quarantined {
			return onVersion
		}
	}
	return state
}

// StateOn implements forward.Guard.
func (g *crashGuard) StateOn(fp serving.Fingerprint, s serving.Server) quarantine.State {
	return g.ledger.StateOnVersion(fp, s.Version)
}

// Implicated implements forward.Guard.
func (g *crashGuard) Implicated(fp serving.Fingerprint) bool { return g.ledger.Implicated(fp) }

// Consult implements forward.Guard.
func (g *crashGuard) Consult(ctx context.Context, fp serving.Fingerprint) error {
	return g.follower.consult(ctx, fp)
}

// loadGrace bounds how long an instance that starts refuses requests because it has not yet read from
// the store which ones are held. The store answers within milliseconds, but may reject this call.
const loadGrace = 3 * time.Second

// Ready implements forward.Guard.
func (g *crashGuard) Ready() bool {
	return g.quarantine.loaded.Load() || clock.Since(g.quarantine.started) > loadGrace
}

// RequestTrial implements forward.Guard. Only the holder lets a suspect request run; while there is no
// holder, none runs.
func (g *crashGuard) RequestTrial(ctx context.Context, fp serving.Fingerprint, s serving.Server, maxRun time.Duration) (forward.Trial, error) {
	trial := quarantine.Trial{Fingerprint: fp, Server: s.ID, Instance: g.follower.name}
	granted, err := g.follower.requestTrial(ctx, trial, s.Version, maxRun)
	if err != nil {
		return forward.Trial{}, err
	}
	if !granted {
		return forward.Trial{}, forward.ErrTrialBusy
	}
	ended := false
	end := func(inconclusive bool) {
		if !ended {
			ended = true
			go g.follower.endTrial(trial, inconclusive || g.ledger.HasPending(fp))
		}
	}
	return forward.Trial{Grace: g.ledger.Grace(fp), End: end}, nil
}

// crashSweepInterval is how often expired state is dropped.
const crashSweepInterval = time.Second

// runSweep drops expired state until ctx ends.
func (c *crashDetector) runSweep(ctx context.Context) {
	for pause.For(ctx, crashSweepInterval) {
		c.sweep(clock.Now())
	}
}
