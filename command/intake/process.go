package intake

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
)

const (
	// DefaultPercent is the part of the process's memory that requests may take together, beyond 8 KiB each.
	DefaultPercent = 25
	// MaxPercent is the largest such part; that much is used if a single request of the largest size needs it.
	MaxPercent = 50
	// HeapPercent is the part of the process's memory above which the garbage collector works harder. The rest is for stacks and for
	// bytes that were received and not yet read.
	HeapPercent = 70
)

const (
	// ConnBytes is the memory of a client's connection with a small request that is arriving.
	ConnBytes = 32 << 10
	// connPercent is the part of the process's memory that all connections may take.
	connPercent = 25
)

// MaxConns returns the number of connections that a process with the given memory in bytes has room for.
func MaxConns(memory int64) int { return int(memory * connPercent / 100 / ConnBytes) }

// refusedLogInterval is the time between two log lines about requests that are not read for the same cause.
const refusedLogInterval = 10 * time.Second

// ForProcess returns the budget of a process with the given memory in bytes, which counts and logs what it refuses.
func ForProcess(memory int64, percent int, set *metrics.Set, log logrus.FieldLogger) *Budget {
	lines := boundedlog.NewLines(refusedLogInterval)
	budget := NewBudget(memory*int64(percent)/100, memory*MaxPercent/100, func(r Refused) {
		set.GetOrCreateCounter(`martenport_requests_not_read_total{cause="` + string(r.Cause) + `"}`).Inc()
		if omitted, due := lines.Due(string(r.Cause), clock.Now()); due {
			log.WithFields(logrus.Fields{
				"cause": r.Cause, "bytes": r.Bytes, "arrived_bytes": r.Arrived, "age_ms": r.Age.Milliseconds(), "used_bytes": r.Used, "omitted": omitted,
			}).Warn("request is not read any further")
		}
	})
	set.NewGauge("martenport_request_memory_bytes", func() float64 { bytes, _ := budget.Used(); return float64(bytes) })
	set.NewGauge("martenport_requests_open", func() float64 { _, requests := budget.Used(); return float64(requests) })
	return budget
}

// Run calls Check until ctx ends.
func (b *Budget) Run(ctx context.Context) {
	for pause.For(ctx, CheckInterval) {
		b.Check()
	}
}
