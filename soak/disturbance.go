package soak

import "sync"

// disturbanceTracker counts the faults of each service's servers and of the connections to them.
type disturbanceTracker struct {
	mu     sync.Mutex
	active map[string]int // faults in progress, by service; guarded by mu
	begun  map[string]int // faults begun so far, by service; guarded by mu
}

func newDisturbanceTracker() *disturbanceTracker {
	return &disturbanceTracker{active: map[string]int{}, begun: map[string]int{}}
}

func (t *disturbanceTracker) begin(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[service]++
	t.begun[service]++
}

func (t *disturbanceTracker) end(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[service]--
}

// count returns how many faults of a service have begun, and whether none is in progress.
func (t *disturbanceTracker) count(service string) (begun int, noneActive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun[service], t.active[service] == 0
}

// observation records the state of a request's instance, of the servers of its service and of the connections to
// them when the request is sent.
type observation struct {
	r                *run
	entry            *process
	service          string
	starts, signals  int
	running, serving bool
	begun            int
	noneActive       bool
}

// observe begins an observation. It must be called before the request is sent.
func (r *run) observe(entry int, service string) observation {
	o := observation{r: r, entry: r.entries[entry], service: service}
	o.begun, o.noneActive = r.disturbances.count(service)
	o.entry.mu.Lock()
	defer o.entry.mu.Unlock()
	o.starts, o.signals = o.entry.starts, o.entry.signals
	o.running = o.entry.cmd != nil && !o.entry.frozen
	o.serving = o.running && !o.entry.terminating
	return o
}

// finish sets entryRunning if the instance ran during the whole request, and undisturbed if in addition no signal
// had been sent to stop, kill or freeze it and no fault affected the servers and connections.
func (o *observation) finish(req *clientRequest) {
	begun, noneActive := o.r.disturbances.count(o.service)
	o.entry.mu.Lock()
	defer o.entry.mu.Unlock()
	req.entryRunning = o.running && o.entry.starts == o.starts && o.entry.cmd != nil && !o.entry.frozen
	req.undisturbed = o.serving && o.entry.starts == o.starts && o.entry.signals == o.signals && o.noneActive && noneActive && begun == o.begun
}
