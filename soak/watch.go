package soak

import "sync"

// troubles says which services' servers, or the ways to them, are disturbed.
type troubles struct {
	mu     sync.Mutex
	active map[string]int // disturbances under way, by service; guarded by mu
	begun  map[string]int // disturbances ever begun; guarded by mu
}

func newTroubles() *troubles { return &troubles{active: map[string]int{}, begun: map[string]int{}} }

func (t *troubles) begin(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[service]++
	t.begun[service]++
}

func (t *troubles) end(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[service]--
}

// count returns how many disturbances have begun, and whether none is under way.
func (t *troubles) count(service string) (begun int, calm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun[service], t.active[service] == 0
}

// watch notes what disturbs a request: its instance, the servers of its service and
// the ways to them.
type watch struct {
	r               *run
	entry           *process
	service         string
	starts, signals int
	running, alone  bool
	begun           int
	calm            bool
}

// watch begins before a request is sent.
func (r *run) watch(entry int, service string) watch {
	w := watch{r: r, entry: r.entries[entry], service: service}
	w.begun, w.calm = r.troubles.count(service)
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	w.starts, w.signals = w.entry.starts, w.entry.signals
	w.running = w.entry.cmd != nil && !w.entry.frozen
	w.alone = w.running && !w.entry.ending
	return w
}

// ended says what the request met: undisturbed, if the instance ran all the while;
// clear, if also nobody stopped, killed or froze it meanwhile or before, and the
// servers and ways were undisturbed.
func (w *watch) ended(t *try) {
	begun, calm := w.r.troubles.count(w.service)
	w.entry.mu.Lock()
	defer w.entry.mu.Unlock()
	t.undisturbed = w.running && w.entry.starts == w.starts && w.entry.cmd != nil && !w.entry.frozen
	t.clear = w.alone && w.entry.starts == w.starts && w.entry.signals == w.signals && w.calm && calm && begun == w.begun
}
