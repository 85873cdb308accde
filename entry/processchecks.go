package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// processLogInterval is the time between two log lines about the process of one server.
const processLogInterval = time.Second

// observeAnswers makes the instance observe what servers' answers say of them.
func (i *Instance) observeAnswers() {
	i.backends.OnAdvisory(i.limiter.observe)
	i.backends.CheckRests(func(s serving.Server) bool { return i.limiter.RetryAfterUntil(s).After(clock.Now()) })
	i.backends.OnOversized(newOversizedAnswers(i.set, i.log).record)
	i.backends.OnInvalidHead(countInvalidHeads(i.set, i.log))
	lines := boundedlog.NewLines(processLogInterval)
	i.backends.OnProcessCheck(func(s serving.Server, found serving.Presence) {
		now := clock.Now()
		omitted, due := lines.Due(s.ID, now)
		if !due {
			return
		}
		outcome := "not_known"
		if found == serving.PresenceEnded {
			outcome = "other_process"
		}
		i.log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "address": s.Address, "version": s.Version, "born": s.Born,
			"servers_age_ms": i.watcher.serversAge(now).Milliseconds(), "outcome": outcome, "omitted": omitted,
		}).Info("known process of a server not found")
	})
}
