package holder

import (
	"maps"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// Arrivals counts requests for one model since the last word.
type Arrivals struct {
	Model string
	Count int
	// Value is their worth together, in requests of ordinary priority.
	Value float64
}

// Running counts the requests for one unit that run on an engine.
type Running struct {
	Engine string
	Unit   serving.Unit
	Count  int
}

// account is what instances have said of their requests, and which views have
// changed since.
type account struct {
	instances map[string]instance
	// changes counts changes of any engine's view.
	changes uint64
}

type instance struct {
	heard   time.Time
	running []Running
}

func newAccount() account { return account{instances: map[string]instance{}, changes: 1} }

// instanceLifetime is how long an instance's word is counted: several times the
// interval at which instances report.
const instanceLifetime = 2 * time.Second

// touch notes that a view has changed.
func (a *account) touch() { a.changes++ }

// running adds up what all instances run, by engine and unit.
func (a *account) running(now time.Time) map[string]map[serving.Unit]int {
	a.expire(now)
	counts := map[string]map[serving.Unit]int{}
	for _, i := range a.instances {
		for _, r := range i.running {
			if counts[r.Engine] == nil {
				counts[r.Engine] = map[serving.Unit]int{}
			}
			counts[r.Engine][r.Unit] += r.Count
		}
	}
	return counts
}

func (a *account) expire(now time.Time) {
	maps.DeleteFunc(a.instances, func(_ string, i instance) bool { return now.Sub(i.heard) > instanceLifetime })
}

// others adds up what all instances but one run, by engine.
func (a *account) others(name string) map[string]int {
	counts := map[string]int{}
	for from, i := range a.instances {
		if from == name {
			continue
		}
		for _, r := range i.running {
			counts[r.Engine] += r.Count
		}
	}
	return counts
}

// Exchange takes over what an instance says of its requests and returns what it
// should know of the engines.
// reachesStore says whether that instance does.
func (h *Holder) Exchange(name string, reachesStore bool, arrivals []Arrivals, running []Running, now time.Time) (fence int64, views []directory.EngineView, instances int, err error) {
	if reachesStore {
		h.offerUp(now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return 0, nil, 0, ErrNotHolder
	}
	h.account.instances[name] = instance{heard: now, running: running}
	for _, a := range arrivals {
		h.fleet.Arrived(a.Model, a.Count, a.Value, now)
	}
	for _, r := range running {
		h.fleet.Used(r.Engine, r.Unit, now)
	}
	h.account.expire(now)
	record, _ := h.lease.Record()
	others := h.account.others(name)
	for _, e := range h.fleet.Engines() {
		views = append(views, directory.EngineView{Engine: e.Server.ID, Units: e.Units(now), Running: others[e.Server.ID]})
	}
	return record.Fence, views, len(h.account.instances), nil
}
