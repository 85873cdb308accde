package entry

import (
	"cmp"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
)

// defaultMemoryBytes is the memory of a process whose settings do not limit it.
const defaultMemoryBytes = 1 << 30

// clientSocketShare is the part of an instance's sockets that clients' connections may take. The others are for servers, the store
// and other instances.
const clientSocketShare = 0.6

// maxClientConns returns the largest number of clients' connections, 0 for no limit.
func maxClientConns(s *platform.Settings) int {
	limit := int(clientSocketShare * float64(s.MaxSockets()))
	if memory := s.MemoryLimit(); memory > 0 {
		byMemory := intake.MaxConns(memory)
		if limit == 0 || byMemory < limit {
			return byMemory
		}
	}
	return limit
}

// newIntake returns the budget of clients' requests for a process with the given memory in bytes, 0 for no limit. A percent of 0
// stands for the default.
func newIntake(memory int64, percent int, set *metrics.Set, log logrus.FieldLogger) *intake.Budget {
	return intake.ForProcess(cmp.Or(memory, defaultMemoryBytes), cmp.Or(percent, intake.DefaultPercent), set, log)
}

// earlyRefusalLogInterval is the time between two log lines about requests that are refused early with one status.
const earlyRefusalLogInterval = 10 * time.Second

// recordEarlyRefusals returns a function that counts and logs requests that are refused before they are passed on.
func recordEarlyRefusals(set *metrics.Set, log logrus.FieldLogger) func(platform.EarlyRefusal) {
	lines := boundedlog.NewLines(earlyRefusalLogInterval)
	return func(r platform.EarlyRefusal) {
		status := strconv.Itoa(r.Status)
		set.GetOrCreateCounter(`martenport_requests_refused_early_total{status="` + status + `"}`).Inc()
		if omitted, due := lines.Due(status, clock.Now()); due {
			log.WithFields(logrus.Fields{
				"status": r.Status, "reason": r.Reason, "client": r.ClientAddress, "announced_bytes": r.AnnouncedBytes, "omitted": omitted,
			}).Warn("request refused before it was passed on")
		}
	}
}
