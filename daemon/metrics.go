package daemon

import (
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/platform"
)

// instanceMetrics are the metrics of one instance; docs/OPERATIONS.md lists them.
type instanceMetrics struct {
	set            *metrics.Set
	requestSeconds *metrics.Histogram
}

func newInstanceMetrics(c *Core) *instanceMetrics {
	set := metrics.NewSet()
	m := &instanceMetrics{set: set, requestSeconds: set.NewHistogram("martenport_request_seconds")}
	for end, read := range map[string]func(admission.Counts) int64{
		"accepted":  func(c admission.Counts) int64 { return c.Accepted },
		"answered":  func(c admission.Counts) int64 { return c.Answered },
		"refused":   func(c admission.Counts) int64 { return c.Refused },
		"failed":    func(c admission.Counts) int64 { return c.Failed },
		"cancelled": func(c admission.Counts) int64 { return c.Cancelled },
		"running":   func(c admission.Counts) int64 { return c.Running },
	} {
		set.NewGauge(`martenport_requests{state="`+end+`"}`, func() float64 { return float64(read(c.gate.Counts())) })
	}
	set.NewGauge("martenport_waiting", func() float64 { return float64(c.queue.Len()) })
	set.NewGauge("martenport_generation", func() float64 { return float64(c.tables.Config.Index().Generation) })
	set.NewGauge("martenport_instances_alive", func() float64 { return float64(len(c.tables.Members.Alive())) })
	set.NewGauge("martenport_engines_ordered", func() float64 { return float64(len(c.orders.Ordered())) })
	return m
}

// addPlatform adds the numbers of calls to the store.
func (m *instanceMetrics) addPlatform(calls *platform.Calls) {
	for kind, count := range map[string]*atomic.Int64{
		"read": &calls.Reads, "write": &calls.Writes, "watch": &calls.Watches, "failed": &calls.Failures,
	} {
		m.set.NewGauge(`martenport_platform_calls{kind="`+kind+`"}`, func() float64 { return float64(count.Load()) })
	}
}

// serve writes all metrics of the instance and the process.
func (m *instanceMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
