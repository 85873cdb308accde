package quarantine

import (
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// Trials are the runs of suspects that the holder of the lease has let begin. It is safe for
// concurrent use.
type Trials struct {
	mu       sync.Mutex
	byServer map[string]Trial // guarded by mu
}

// Trial is the run of a suspect.
type Trial struct {
	Fingerprint serving.Fingerprint
	Server      string
	// Instance that sends it.
	Instance string
	// until is when it is over if nobody has said so before.
	until time.Time
}

// NewTrials returns Trials of which none has begun.
func NewTrials() *Trials { return &Trials{byServer: map[string]Trial{}} }

// Begin reports whether a suspect may run: no other one is on trial on the server, and it
// itself on none. The trial is over at End, or after longest.
func (t *Trials) Begin(trial Trial, longest time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, running := range t.byServer {
		switch {
		case !now.Before(running.until):
			delete(t.byServer, server)
		case server == trial.Server || running.Fingerprint == trial.Fingerprint:
			return false
		}
	}
	trial.until = now.Add(longest)
	t.byServer[trial.Server] = trial
	return true
}

// inconclusiveHold is how long a request whose run alone broke off is not let run again while it is not
// known whether its server has ended: an entry goes after three missed heartbeats. Where an
// engine's machine ends with it nothing else shows the end.
const inconclusiveHold = 6 * time.Second

// End notes that a trial is over. inconclusive: its answer broke off, and it is not known whether
// the server has ended.
func (t *Trials) End(trial Trial, inconclusive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.byServer[trial.Server]
	if running.Fingerprint != trial.Fingerprint || running.Instance != trial.Instance {
		return
	}
	if inconclusive {
		running.until = now.Add(inconclusiveHold)
		t.byServer[trial.Server] = running
		return
	}
	delete(t.byServer, trial.Server)
}
