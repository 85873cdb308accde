package holder

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// Counts are the counters of a holder's work.
type Counts struct {
	set       *metrics.Set
	takeOvers *metrics.Counter
	reports   *metrics.Counter
	seconds   *metrics.Histogram
	// promiseError is by which part of its time a load from the weight store was promised
	// wrongly.
	promiseError *metrics.Histogram
}

// NewCounts returns Counts in set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		set: set, takeOvers: set.NewCounter("martenport_lease_takeovers_total"),
		reports: set.NewCounter("martenport_engine_reports_total"), seconds: set.NewHistogram("martenport_operation_seconds"),
		promiseError: set.NewHistogram("martenport_weight_store_promise_error_ratio"),
	}
}

func (c *Counts) order(answer serving.OrderAnswer) {
	c.set.GetOrCreateCounter(`martenport_orders_total{answer="` + answer.String() + `"}`).Inc()
}

// weightStore counts a load from the weight store that was promised to take so long.
func (c *Counts) weightStore(promised, took time.Duration) {
	if took > 0 {
		c.promiseError.Update(math.Abs((promised - took).Seconds()) / took.Seconds())
	}
}

func (c *Counts) operation(op replicas.Operation, err error, took time.Duration) {
	kind, outcome := "model", "done"
	if op.Load.Adapter != "" {
		kind = "adapter"
	}
	if err != nil {
		outcome = "failed"
	}
	c.seconds.Update(took.Seconds())
	c.set.GetOrCreateCounter(`martenport_operations_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}
