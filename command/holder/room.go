package holder

import (
	"time"

	"github.com/martenport/martenport/command/replicas"
)

// maxTraffic bounds the models and classes that are taken from one report.
const maxTraffic = 1024

// recordTraffic records the traffic of an instance by class. h.mu must be held.
func (h *Holder) recordTraffic(traffic []replicas.ClassTraffic, now time.Time) {
	for _, t := range traffic[:min(len(traffic), maxTraffic)] {
		h.fleet.RecordClassTraffic(t, now)
		h.fleet.RecordRefused(t.Model, t.Class, t.Refused, now)
	}
}
