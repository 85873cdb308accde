package replicas

import "time"

// When a model gets more requests than its engines can serve, the queues grow until clients disconnect, and almost no
// request is answered on time although the engines are always busy. Refusing a share of the requests immediately keeps
// the others on time. The lease holder sees the load of all instances and the throughput of the engines, so it
// computes the share to admit; each instance applies it to its requests at random.
//
// The share is the served rate divided by the requested rate, corrected by the distance of the load from its target.
// An instance that uses the load alone oscillates between admitting everything and nothing: its view of the load is
// two seconds old, and the queues of a model that gets three times the requests it can serve fill up within one second
// (2,800 refusals in one run, two thirds of them at a share of 0, and no more requests on time than without refusals).
//
// For a model that gets 1.1 times the requests its engines can serve, 12 in 100 requests are on time without refusals,
// and 59 with them (TestAdmission). In a run with 195 instances, engines refused 10 in 100 sends without it and 5 with
// it, and 4 in 100 more of the requests with an objective of 400 ms were on time; the total score was the same within
// the noise.
const (
	// targetLoad is the number of running and queued requests per slot of busy engines: high enough that slots are
	// seldom empty. With .95, and admitAllLoad and saturatedLoad at .7 and 1, more requests for overloaded models would
	// be on time, but models whose demand is merely rising lose requests that could have been served, since the served
	// rate lags behind the requested rate by the duration of a request (4,475 on time instead of 4,373).
	targetLoad = 1.1
	// Between admitAllLoad and saturatedLoad the served rate limits the share increasingly, from saturatedLoad on
	// entirely. Below admitAllLoad engines have free slots and serve all requests.
	admitAllLoad, saturatedLoad = 0.95, 1.25
	// admissionGain is the gain of the correction by the distance from targetLoad. Reports are two seconds old and
	// slots turn over in 1.5 s; with four times this gain the share oscillates.
	admissionGain = 0.25
	// minDeferrableRate is the rate, in requests per second, below which the load of a model is mostly chance.
	minDeferrableRate = 2
	// minAdmittedShare is always admitted, so that the throughput of the engines can still be observed.
	minAdmittedShare = 0.05
)

// Admissions returns, by model, the share of its deferrable requests to admit. Models of which all requests are
// admitted are omitted.
func (f *Fleet) Admissions(now time.Time) map[string]float64 {
	f.decay(now)
	shares := map[string]float64{}
	for model, d := range f.demand {
		if d.Deferrable < minDeferrableRate {
			continue
		}
		load, known := f.loadOf(model, now)
		if !known || load <= admitAllLoad {
			continue
		}
		if share := admissionShare(load, d.Deferrable, d.Served); share < 1 {
			shares[model] = share
		}
	}
	return shares
}

// loadOf returns the number of running and queued requests, for any model, per slot of the engines that have the
// model. known is false if no usable engine has it.
func (f *Fleet) loadOf(model string, now time.Time) (load float64, known bool) {
	running, slots := 0, 0
	for _, e := range f.holding(model) {
		if e.Copies[model].State != Resident || e.Server.Draining || now.Before(e.FailingUntil) {
			continue
		}
		slots += slotsOf(e)
		for _, c := range e.Copies {
			running += c.Running
		}
	}
	if slots == 0 {
		return 0, false
	}
	return float64(running) / float64(slots), true
}

// slotsOf returns how many requests an engine runs concurrently.
func slotsOf(e *Engine) int {
	if e.Server.Slots > 0 {
		return e.Server.Slots
	}
	return e.Spec.Slots
}

// admissionShare returns the share of requests to admit at a load, given the requested and the served rate, both per
// second.
func admissionShare(load, requested, served float64) float64 {
	if requested <= 0 {
		return 1
	}
	saturation := min(1, max(0, (load-admitAllLoad)/(saturatedLoad-admitAllLoad)))
	share := min(1, served/requested) + admissionGain*(targetLoad-load)
	return min(1, max(minAdmittedShare, (1-saturation)+saturation*share))
}
