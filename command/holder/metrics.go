package holder

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// Metrics are the metrics of a holder.
type Metrics struct {
	set              *metrics.Set
	takeOvers        *metrics.Counter
	reports          *metrics.Counter
	operationSeconds *metrics.Histogram
	// loadTimeError is the relative error of the predicted duration of loads from the weight store.
	loadTimeError *metrics.Histogram
	// dispatches counts decisions about loads, dispatchSeconds has their durations, and coalescedDispatches counts
	// requests for one that shared a later one.
	dispatches, coalescedDispatches *metrics.Counter
	dispatchSeconds                 *metrics.Histogram
	// roomGauges are the names of the gauges of the room of classes; guarded by Holder.mu.
	roomGauges map[string]struct{}
	// loadsHeld is the number of loads that wait for further requests.
	loadsHeld *metrics.Gauge
	// slowEngines and fastEngines are the numbers of engines whose speed differs from the usual one, as of the last time
	// that this instance held the lease.
	slowEngines, fastEngines *metrics.Gauge
}

// NewMetrics registers the metrics in set and returns them.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set: set, takeOvers: set.NewCounter("martenport_lease_takeovers_total"),
		reports: set.NewCounter("martenport_engine_reports_total"), operationSeconds: set.NewHistogram("martenport_operation_seconds"),
		loadTimeError: set.NewHistogram("martenport_weight_store_promise_error_ratio"),
		dispatches:    set.NewCounter("martenport_dispatches_total"), coalescedDispatches: set.NewCounter("martenport_dispatches_coalesced_total"),
		dispatchSeconds: set.NewHistogram("martenport_dispatch_seconds"),
		roomGauges:      map[string]struct{}{},
		loadsHeld:       set.NewGauge("martenport_loads_held", nil),
		slowEngines:     set.NewGauge(`martenport_engines_of_unusual_speed{kind="slow"}`, nil),
		fastEngines:     set.NewGauge(`martenport_engines_of_unusual_speed{kind="fast"}`, nil),
	}
}

func (m *Metrics) countOrder(answer serving.OrderAnswer) {
	m.set.GetOrCreateCounter(`martenport_orders_total{answer="` + answer.String() + `"}`).Inc()
}

// countRefused counts an order that was refused because another one was in progress. runs is what is known of the
// requests that the unload before waits for, see runEnds.cause.
func (m *Metrics) countRefused(operation, runs string) {
	m.set.GetOrCreateCounter(`martenport_orders_refused_total{operation="` + operation + `",runs="` + runs + `"}`).Inc()
}

// observeLoadAfterUnload records the time from the end of the requests that an unload waited for, or from its
// acceptance if none is known, until the engine accepted the load.
func (m *Metrics) observeLoadAfterUnload(runs string, idle time.Duration) {
	m.set.GetOrCreateHistogram(`martenport_load_after_unload_seconds{runs="` + runs + `"}`).Update(idle.Seconds())
}

// countContendedLoad counts a load of a contended service by why it has its place among others.
func (m *Metrics) countContendedLoad(order string) {
	m.set.GetOrCreateCounter(`martenport_contended_loads_total{order="` + order + `"}`).Inc()
}

// observeWeightStoreLoad records the error of the predicted duration of a load from the weight store.
func (m *Metrics) observeWeightStoreLoad(predicted, actual time.Duration) {
	if actual > 0 {
		m.loadTimeError.Update(math.Abs((predicted - actual).Seconds()) / actual.Seconds())
	}
}

func (m *Metrics) observeOperation(op replicas.Operation, err error, duration time.Duration) {
	kind, outcome := "model", "done"
	if op.Load.Adapter != "" {
		kind = "adapter"
	}
	if err != nil {
		outcome = "failed"
	}
	m.operationSeconds.Update(duration.Seconds())
	m.set.GetOrCreateCounter(`martenport_operations_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}
