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
		slowEngines:   set.NewGauge(`martenport_engines_of_unusual_speed{kind="slow"}`, nil),
		fastEngines:   set.NewGauge(`martenport_engines_of_unusual_speed{kind="fast"}`, nil),
	}
}

func (m *Metrics) countOrder(answer serving.OrderAnswer) {
	m.set.GetOrCreateCounter(`martenport_orders_total{answer="` + answer.String() + `"}`).Inc()
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
