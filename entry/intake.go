package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
)

const (
	// DefaultRequestMemoryPercent is the part of the process's memory that clients' requests may take together, beyond 8 KiB each.
	DefaultRequestMemoryPercent = 25
	// MaxRequestMemoryPercent is the largest such part; that much is used if a single request of the largest size needs it.
	MaxRequestMemoryPercent = 50
	// defaultMemoryBytes is the memory of a process whose settings do not limit it.
	defaultMemoryBytes = 1 << 30
)

const (
	// clientSocketShare is the part of an instance's sockets that clients' connections may take. The others are for servers,
	// the store and other instances.
	clientSocketShare = 0.6
	// connBytes is the memory of a client's connection with a small request that is arriving, and connMemoryPercent the part of the
	// process's memory that all connections may take.
	connBytes, connMemoryPercent = 32 << 10, 25
)

// maxClientConns returns the largest number of clients' connections, 0 for no limit.
func maxClientConns(s *platform.Settings) int {
	limit := int(clientSocketShare * float64(s.MaxSockets()))
	if memory := s.MemoryLimit(); memory > 0 {
		byMemory := int(memory * connMemoryPercent / 100 / connBytes)
		if limit == 0 || byMemory < limit {
			return byMemory
		}
	}
	return limit
}

// refusedLogInterval is the time between two log lines about requests that are not read for the same cause.
const refusedLogInterval = 10 * time.Second

// newIntake returns the budget of clients' requests for a process with the given memory in bytes, 0 for no limit.
func newIntake(memory int64, percent int, set *metrics.Set, log logrus.FieldLogger) *intake.Budget {
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	if percent == 0 {
		percent = DefaultRequestMemoryPercent
	}
	lines := boundedlog.NewLines(refusedLogInterval)
	budget := intake.NewBudget(memory*int64(percent)/100, memory*MaxRequestMemoryPercent/100, func(r intake.Refused) {
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
