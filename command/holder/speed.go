package holder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/balance"
)

// speedLogInterval is the minimum time between two log lines about the engines' speeds.
const speedLogInterval = 10 * time.Second

// speedReporter reports the engines' speeds to the operator.
type speedReporter struct {
	slow, fast int
	loggedAt   time.Time
}

// report updates the metrics, and logs the speeds if the number of slow or fast engines has changed.
func (r *speedReporter) report(speeds []balance.EngineSpeed, m *Metrics, log logrus.FieldLogger, now time.Time) {
	slow, fast := 0, 0
	slowest := balance.EngineSpeed{Speed: 1}
	for _, s := range speeds {
		if s.Speed < 1 {
			slow++
		} else {
			fast++
		}
		if s.Speed < slowest.Speed {
			slowest = s
		}
	}
	m.slowEngines.Set(float64(slow))
	m.fastEngines.Set(float64(fast))
	if slow == r.slow && fast == r.fast || now.Sub(r.loggedAt) < speedLogInterval {
		return
	}
	r.slow, r.fast, r.loggedAt = slow, fast, now
	fields := logrus.Fields{"slow": slow, "fast": fast}
	if slow > 0 {
		fields["server"], fields["speed"] = slowest.Engine, slowest.Speed
	}
	log.WithFields(fields).Info("engine speeds")
}
