package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// Trials are the isolated runs of suspects that the lease holder has permitted. It is safe for
// concurrent use.
type Trials struct {
	mu       sync.Mutex
	byServer map[string]Trial // guarded by mu
}

// Trial is an isolated run of a suspect.
type Trial struct {
	Fingerprint serving.Fingerprint
	// Parts are the parts of the request's prompt that are suspects.
	Parts  []serving.Fingerprint
	Server string
	// Born is the start time of the server as in Incarnation; 0 if unknown.
	Born int64
	// Instance is the instance that sends the request.
	Instance string
	// expiresAt is when the trial ends unless its end is reported earlier.
	expiresAt time.Time
	// inconclusive is set once the trial has ended and it is unknown whether the server has crashed.
	inconclusive bool
}

// NewTrials returns an empty set of trials.
func NewTrials() *Trials { return &Trials{byServer: map[string]Trial{}} }

// sharesSuspect reports whether the trials are of the same request, or of requests with the same suspect part.
func (t *Trial) sharesSuspect(other Trial) bool {
	return t.Fingerprint == other.Fingerprint || slices.ContainsFunc(t.Parts, func(part serving.Fingerprint) bool { return slices.Contains(other.Parts, part) })
}

// Begin starts a trial and returns true, unless the server is already running a trial or the request, or
// a suspect part of its prompt, is already on trial on another server. The trial ends at the call of End, or after maxDuration.
func (t *Trials) Begin(trial Trial, maxDuration time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, running := range t.byServer {
		switch {
		case !now.Before(running.expiresAt):
			delete(t.byServer, server)
		case server == trial.Server || running.sharesSuspect(trial):
			return false
		}
	}
	trial.expiresAt = now.Add(maxDuration)
	t.byServer[trial.Server] = trial
	return true
}

// inconclusiveHold is how long the next trial of a request is delayed after one that was cut off
// while it is unknown whether the server has crashed: the server's entry lapses after three missed
// heartbeats. If an engine's machine fails together with the engine, the lapsed entry is the only
// sign of the crash.
const inconclusiveHold = 6 * time.Second

// End ends a trial. inconclusive is set if the answer was cut off and it is unknown whether the
// server has crashed. End does nothing if the trial was begun by another instance or has expired.
func (t *Trials) End(trial Trial, inconclusive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.byServer[trial.Server]
	if running.Fingerprint != trial.Fingerprint || running.Instance != trial.Instance {
		return
	}
	if inconclusive {
		running.expiresAt, running.inconclusive = now.Add(inconclusiveHold), true
		t.byServer[trial.Server] = running
		return
	}
	delete(t.byServer, trial.Server)
}

// EndKnown ends the inconclusive trials on servers that are known to have crashed meanwhile.
func (t *Trials) EndKnown(l *Ledger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byServer, func(_ string, trial Trial) bool {
		return trial.inconclusive && l.knowsCrash(trial.Fingerprint, trial.Server, trial.Born)
	})
}

// Hold ends a trial after d, whatever its maximum duration.
func (t *Trials) Hold(trial Trial, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.byServer[trial.Server]
	if running.Fingerprint == trial.Fingerprint && running.Instance == trial.Instance {
		running.expiresAt = now.Add(d)
		t.byServer[trial.Server] = running
	}
}
