package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// Arrivals counts the requests for one model that arrived at an instance since its last report.
type Arrivals struct {
	Model string
	replicas.Arrivals
}

// Running is the number of requests for one unit that run on an engine.
type Running struct {
	Engine string
	Unit   serving.Unit
	Count  int
}

// instanceReports holds what the holder keeps of the instances' reports: the running requests of each instance and the
// instances of each failure domain.
type instanceReports struct {
	instances map[string]instanceReport
	peers     peers
	// reportInterval is the smoothed interval between the reports of an instance.
	reportInterval time.Duration
	// busiestLoads is the number of running requests on each of the busiest engines, over all instances, as computed
	// at busiestAt.
	busiestLoads map[string]int
	busiestAt    time.Time
}

// instanceReport is the part of an instance's latest report that is kept.
type instanceReport struct {
	receivedAt time.Time
	running    []Running
	address    string
	reached    float64
}

func newInstanceReports() instanceReports {
	return instanceReports{instances: map[string]instanceReport{}, peers: peers{known: map[string]peer{}}}
}

// intervalSmoothing is the weight of the newest report in the smoothed report interval.
const intervalSmoothing = 0.02

// record stores an instance's report, and updates the smoothed report interval.
func (ir *instanceReports) record(r Report, now time.Time) {
	if last, found := ir.instances[r.Name]; found {
		ir.reportInterval += time.Duration(intervalSmoothing * float64(now.Sub(last.receivedAt)-ir.reportInterval))
	}
	ir.instances[r.Name] = instanceReport{receivedAt: now, running: r.Running, address: r.Address, reached: r.Reached}
}

// reportLifetime is how long the report of an instance is counted: several times the interval at which instances
// report.
const reportLifetime = 2 * time.Second

// runningByUnit returns the number of running requests over all instances, by engine and unit.
func (ir *instanceReports) runningByUnit(now time.Time) map[string]map[serving.Unit]int {
	ir.expire(now)
	counts := map[string]map[serving.Unit]int{}
	for _, i := range ir.instances {
		for _, r := range i.running {
			if counts[r.Engine] == nil {
				counts[r.Engine] = map[serving.Unit]int{}
			}
			counts[r.Engine][r.Unit] += r.Count
		}
	}
	return counts
}

// expire drops the reports that are older than reportLifetime.
func (ir *instanceReports) expire(now time.Time) {
	maps.DeleteFunc(ir.instances, func(_ string, i instanceReport) bool { return now.Sub(i.receivedAt) > reportLifetime })
}

// otherInstancesLoads returns the number of running requests of all instances but the named one, for the busiest
// engines. The total is recomputed only once per viewsInterval.
func (ir *instanceReports) otherInstancesLoads(name string, now time.Time) map[string]int {
	if now.Sub(ir.busiestAt) >= viewsInterval {
		ir.busiestAt = now
		totals := map[string]int{}
		for _, i := range ir.instances {
			for _, r := range i.running {
				totals[r.Engine] += r.Count
			}
		}
		ir.busiestLoads = busiestOf(totals)
	}
	counts := maps.Clone(ir.busiestLoads)
	for _, r := range ir.instances[name].running {
		if n, found := counts[r.Engine]; found {
			counts[r.Engine] = max(0, n-r.Count)
		}
	}
	return counts
}

// maxBusiest bounds the number of engines whose load is reported to instances. Only the busiest engines are reported,
// since requests should avoid them. Instances treat all others as having no requests of other instances.
const maxBusiest = 64

// busiestOf returns the counts of the maxBusiest engines with the highest counts.
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

// Report is the state that an instance sends to the holder.
type Report struct {
	Name string
	// Domain is the failure domain in which the instance shares the budget of repeated sends.
	Domain string
	// Reaches is the number (see Update.Failing) of the store outage at the holder during which the store has answered
	// this instance, 0 if there is none. The holder then renews the lease once more, and gives it up if that
	// fails, so that an instance that reaches the store can take over.
	Reaches  uint64
	Arrivals []Arrivals
	Running  []Running
	// Waiting describes all waiting requests of the instance, by model.
	Waiting map[string]replicas.Waiting
	// Fence is the fencing token of the holder whose update the instance received last. SeenViews and SeenServers are
	// the numbers of the last changes that it received from that holder.
	Fence                  int64
	SeenViews, SeenServers uint64
	// Revision is the store revision up to which the instance knows the servers.
	Revision store.Revision
	// Waitlist names the requests that the instance refused for lack of room.
	Waitlist waitlist.Report
	// Traffic counts the requests of contended services by model and class since the last report.
	Traffic []replicas.ClassTraffic
	// Address is where the instance answers a RunsQuery, empty if it answers none.
	Address string
	// Speeds are samples of the engines' speeds since the last report, at most balance.MaxSharedSamples.
	Speeds []balance.SpeedSample
	// Reached is the fraction of the engines that the instance reaches, as far as it has tried.
	Reached float64
}

// Update is the holder's reply to the report of an instance.
type Update struct {
	Fence     int64
	Instances int
	// Peers is the number of instances that are, or recently were, in the failure domain of the reporting instance.
	// It is 0 until the holder has received reports for long enough to know.
	Peers int
	// Views are the views that have changed since SeenViews. Seen is the value of SeenViews for the next report.
	Views []directory.EngineView
	Seen  uint64
	// Others is the number of running requests of other instances on each of the busiest engines.
	Others map[string]int
	// Admit is the share of deferrable requests to admit, for each model where it is below 1.
	Admit map[string]float64
	// Servers are the changes of the directory of servers since SeenServers.
	Servers directory.Delta
	// Config is the version of the configuration in force at the holder, and the time since the store last confirmed it.
	Config access.ConfigStatus
	// RemoteAtOnce is the estimated number of concurrent loads from the weight store that run at full speed. A
	// successor uses it instead of measuring it again.
	RemoteAtOnce float64
	// Failing is the number of the current store outage at the holder, in which it cannot reach the store. It is 0 if
	// there is none.
	Failing uint64
	// Lease states when the holder last renewed the lease. A successor counts its waiting time from then.
	Lease lease.RenewalAge
	// Waitlist names the refused requests that are to be admitted when they return.
	Waitlist waitlist.Update
	// Room has the shares to admit by class, for contended services.
	Room directory.Room
	// Speeds are the speeds of the engines that differ from the usual speed, at most balance.MaxSharedSpeeds.
	Speeds []balance.EngineSpeed
}

// Exchange processes the report of an instance and returns the state that the instance needs. It fails with
// ErrNotHolder if this instance does not hold the lease.
func (h *Holder) Exchange(r Report, now time.Time) (Update, error) {
	outage := h.currentOutage()
	if outage != 0 && r.Reaches == outage {
		h.startFinalRenewal()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return Update{}, ErrNotHolder
	}
	h.reports.record(r, now)
	h.fleet.SetReportAge(h.reports.reportInterval)
	h.reports.peers.recordReport(r.Name, r.Domain, now)
	for _, a := range r.Arrivals {
		h.fleet.RecordArrivals(a.Model, a.Arrivals, now)
	}
	h.recordTraffic(r.Traffic, now)
	for _, run := range r.Running {
		h.fleet.MarkUsed(run.Engine, run.Unit, now)
	}
	h.fleet.ReplaceWaiting(r.Name, r.Waiting, now)
	h.speeds.Add(r.Speeds, now)
	h.reports.expire(now)
	record, _ := h.lease.Record()
	if r.Fence != record.Fence {
		r.SeenViews, r.SeenServers = 0, 0
	}
	reply := Update{
		Fence: record.Fence, Failing: outage, Instances: len(h.reports.instances), Others: h.reports.otherInstancesLoads(r.Name, now), Servers: h.dir.Since(r.SeenServers, r.Revision),
	}
	reply.RemoteAtOnce = h.fleet.RemoteConcurrency()
	reply.Lease = h.lease.RenewalAge(now)
	reply.Admit, reply.Room = h.admissions(now), h.room
	reply.Waitlist = h.exchangeWaitlist(r.Waitlist, now)
	reply.Speeds = h.speeds.Speeds(now)
	reply.Peers = h.reports.peers.count(r.Domain, now)
	reply.Views, reply.Seen = h.views.since(r.SeenViews, h.fleet, now)
	if config, confirmedAt := h.dir.Current(); config != nil {
		reply.Config = access.ConfigStatus{Version: config.Version, Age: now.Sub(confirmedAt)}
	}
	return reply, nil
}
