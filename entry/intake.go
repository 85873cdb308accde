package entry

import (
	"cmp"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
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
