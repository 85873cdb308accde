package daemon

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/admission"
)

// instruments are the metrics of one instance; docs/OPERATING.md lists them.
type instruments struct {
	set            *metrics.Set
	requestSeconds *metrics.Histogram
}

func newInstruments(d *Daemon) *instruments {
	set := metrics.NewSet()
	m := &instruments{set: set, requestSeconds: set.NewHistogram("martenport_request_seconds")}
	for end, read := range map[string]func(admission.Counts) int64{
		"accepted":  func(c admission.Counts) int64 { return c.Accepted },
		"answered":  func(c admission.Counts) int64 { return c.Answered },
		"refused":   func(c admission.Counts) int64 { return c.Refused },
		"failed":    func(c admission.Counts) int64 { return c.Failed },
		"cancelled": func(c admission.Counts) int64 { return c.Cancelled },
		"running":   func(c admission.Counts) int64 { return c.Running },
	} {
		set.NewGauge(`martenport_requests{state="`+end+`"}`, func() float64 { return float64(read(d.gate.Counts())) })
	}
	calls := d.platform.Calls()
	set.NewGauge(`martenport_platform_calls{kind="read"}`, func() float64 { return float64(calls.Reads.Load()) })
	set.NewGauge(`martenport_platform_calls{kind="write"}`, func() float64 { return float64(calls.Writes.Load()) })
	set.NewGauge(`martenport_platform_calls{kind="watch"}`, func() float64 { return float64(calls.Watches.Load()) })
	set.NewGauge(`martenport_platform_calls{kind="failed"}`, func() float64 { return float64(calls.Failures.Load()) })
	set.NewGauge("martenport_generation", func() float64 { return float64(d.tables.Config.Index().Generation) })
	set.NewGauge("martenport_instances_alive", func() float64 { return float64(len(d.tables.Members.Alive())) })
	set.NewGauge("martenport_engines_ordered", func() float64 { return float64(len(d.orders.Ordered())) })
	return m
}

func (m *instruments) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
