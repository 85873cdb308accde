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
	// ownTrials are the trials of suspect parts of prompts that this instance asks for or runs.
	ownTrials *quarantine.Trials
}

// State implements forward.Guard.
func (g *crashGuard) State(i quarantine.Identity) (quarantine.State, serving.Fingerprint) {
	state, cause := g.ledger.Assess(i, "")
	if state != quarantine.Quarantined {
		return state, cause
	}
	for _, s := range g.dir.Servers(i.Service) {
		if onVersion, cause := g.ledger.Assess(i, s.Version); onVersion != quarantine.Quarantined {
			return onVersion, cause
		}
	}
	return state, cause
}

// StateOn implements forward.Guard.
func (g *crashGuard) StateOn(i quarantine.Identity, s serving.Server) quarantine.State {
	state, _ := g.ledger.Assess(i, s.Version)
	return state
}

// Implicated implements forward.Guard.
func (g *crashGuard) Implicated(i quarantine.Identity) bool { return g.ledger.Implicated(i) }

// Consult implements forward.Guard.
func (g *crashGuard) Consult(ctx context.Context, i quarantine.Identity) error {
	return g.follower.consult(ctx, i)
}

// loadGrace bounds how long an instance that starts refuses requests because it has not yet read from
// the store which ones are held. The store answers within milliseconds, but may reject this call.
const loadGrace = 3 * time.Second

// Ready implements forward.Guard.
func (g *crashGuard) Ready() bool {
	return g.quarantine.loaded.Load() || clock.Since(g.quarantine.started) > loadGrace
}

// trialRetry is how long an instance does not ask for a trial of a suspect part of prompts after the holder has let none
// run: many requests with the part may wait for one.
const trialRetry = 150 * time.Millisecond

// RequestTrial implements forward.Guard. Only the holder lets a suspect request run; while there is no
// holder, none runs.
func (g *crashGuard) RequestTrial(ctx context.Context, i quarantine.Identity, s serving.Server, maxRun time.Duration) (forward.Trial, error) {
	trial := quarantine.Trial{Fingerprint: i.Fingerprint, Server: s.ID, Born: s.Born, Instance: g.follower.name, Parts: g.ledger.SuspectParts(i, s.Version)}
	if len(trial.Parts) > 0 && !g.ownTrials.Begin(trial, maxRun, clock.Now()) {
		return forward.Trial{}, forward.ErrTrialBusy
	}
	granted, err := g.follower.requestTrial(ctx, trial, i, s.Version, maxRun)
	if err != nil || !granted {
		g.ownTrials.Hold(trial, trialRetry, clock.Now())
	}
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
			g.ownTrials.End(trial, false, clock.Now())
			go g.follower.endTrial(trial, i, inconclusive || g.ledger.HasPending(i))
		}
	}
	return forward.Trial{Grace: g.ledger.Grace(i.Fingerprint), End: end}, nil
}

// crashSweepInterval is how often expired state is dropped.
const crashSweepInterval = time.Second

// runSweep drops expired state until ctx ends.
func (c *crashDetector) runSweep(ctx context.Context) {
	for pause.For(ctx, crashSweepInterval) {
		c.sweep(clock.Now())
	}
}
