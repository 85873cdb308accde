package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Arrivals are requests for one model since the last word.
type Arrivals struct {
	Model string
	replicas.Arrivals
}

// Running counts the requests for one unit that run on an engine.
type Running struct {
	Engine string
	Unit   serving.Unit
	Count  int
}

// account is what instances have said of their requests.
type account struct {
	instances map[string]instance
	peers     peers
	// interval is how long instances let pass between reports, smoothed.
	interval time.Duration
	// busiest is what all run on the busiest engines, as of added.
	busiest map[string]int
	added   time.Time
}

type instance struct {
	heard   time.Time
	running []Running
}

func newAccount() account {
	return account{instances: map[string]instance{}, peers: peers{known: map[string]peer{}}}
}

// intervalMemory is the weight of the newest report in the interval between reports.
const intervalMemory = 0.02

// report takes over what an instance runs.
func (a *account) report(name string, running []Running, now time.Time) {
	if last, known := a.instances[name]; known {
		a.interval += time.Duration(intervalMemory * float64(now.Sub(last.heard)-a.interval))
	}
	a.instances[name] = instance{heard: now, running: running}
}

// instanceLifetime is how long an instance's word is counted: several times the
// interval at which instances report.
const instanceLifetime = 2 * time.Second

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
func (a *account) others(name string, now time.Time) map[string]int {
	if now.Sub(a.added) >= viewsInterval {
		a.added = now
		totals := map[string]int{}
		for _, i := range a.instances {
			for _, r := range i.running {
				totals[r.Engine] += r.Count
			}
		}
		a.busiest = busiestOf(totals)
	}
	counts := maps.Clone(a.busiest)
	for _, r := range a.instances[name].running {
		if n, told := counts[r.Engine]; told {
			counts[r.Engine] = max(0, n-r.Count)
		}
	}
	return counts
}

// maxBusiest bounds how many engines' loads are told: those that it is best to
// stay away from. The rest count as having none of other instances.
const maxBusiest = 64

// busiestOf returns the engines with the highest counts.
func busiestOf(totals map[string]int) map[string]int {
	if len(totals) <= maxBusiest {
		return totals
	}
	ids := slices.SortedFunc(maps.Keys(totals), func(a, b string) int { return totals[b] - totals[a] })
	busiest := make(map[string]int, maxBusiest)
	for _, id := range ids[:maxBusiest] {
		busiest[id] = totals[id]
	}
	return busiest
}

// Report is what an instance says of itself.
type Report struct {
	Name string
	// Domain is the failure domain that the instance shares a part of the budget of
	// repeated sends with.
	Domain string
	// Reaches names the episode of the holder's failing (News.Failing) during
	// which the store has answered this instance, 0 if there is none.
	Reaches  uint64
	Arrivals []Arrivals
	Running  []Running
	// Waiting is all that waits there, by model.
	Waiting map[string]replicas.Waiting
	// Fence is the token of the holder that it heard from last, SeenViews and
	// SeenServers what it has from that one.
	Fence                  int64
	SeenViews, SeenServers uint64
	// Revision is the store's, up to which it knows of servers.
	Revision store.Revision
}

// News is what the holder says to an instance.
type News struct {
	Fence     int64
	Instances int
	// Peers is how many instances there are, or lately were, in the failure domain of
	// the one that reports; 0 while the holder has not listened for long enough.
	Peers int
	// Views are those that have changed since SeenViews; Seen is what to
	// report next time.
	Views []directory.EngineView
	Seen  uint64
	// Others is how many requests of other instances run on each engine.
	Others map[string]int
	// Admit is the share of deferrable requests to admit, by model, where it is not all.
	Admit map[string]float64
	// Servers are the changes since SeenServers.
	Servers directory.Delta
	// Config says which configuration is in force at the holder, and how current it is.
	Config access.Word
	// RemoteAtOnce is how many loads from the weight store have full speed together, as
	// far as is known: a successor need not learn it again.
	RemoteAtOnce float64
	// Failing numbers the episode in which the holder does not reach the store,
	// 0 while it does.
	Failing uint64
	// Lease says when the holder has renewed the lease last: who succeeds it counts
	// from there.
	Lease lease.Standing
}

// Exchange takes over what an instance says and returns what it should know.
func (h *Holder) Exchange(r Report, now time.Time) (News, error) {
	failing := h.failing()
	if failing != 0 && r.Reaches == failing {
		h.proveOrGiveUp()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return News{}, ErrNotHolder
	}
	h.account.report(r.Name, r.Running, now)
	h.fleet.SetWordAge(h.account.interval)
	h.account.peers.heard(r.Name, r.Domain, now)
	for _, a := range r.Arrivals {
		h.fleet.Arrived(a.Model, a.Arrivals, now)
	}
	for _, run := range r.Running {
		h.fleet.Used(run.Engine, run.Unit, now)
	}
	h.fleet.WaitsOnly(r.Name, r.Waiting, now)
	h.account.expire(now)
	record, _ := h.lease.Record()
	if r.Fence != record.Fence {
		r.SeenViews, r.SeenServers = 0, 0
	}
	news := News{
		Fence: record.Fence, Failing: failing, Instances: len(h.account.instances), Others: h.account.others(r.Name, now), Servers: h.dir.Since(r.SeenServers, r.Revision),
	}
	news.RemoteAtOnce = h.fleet.RemoteAtOnce()
	news.Lease = h.lease.RenewalAge(now)
	news.Admit = h.admissions(now)
	news.Peers = h.account.peers.count(r.Domain, now)
	news.Views, news.Seen = h.views.since(r.SeenViews, h.fleet, now)
	if config, asOf := h.dir.Current(); config != nil {
		news.Config = access.Word{Version: config.Version, Age: now.Sub(asOf)}
	}
	return news, nil
}
