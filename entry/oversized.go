package entry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// oversizedLogInterval is the time between two log lines about oversized answers of one server.
const oversizedLogInterval = 10 * time.Second

// oversizedAnswers counts and logs the answers of servers that were given up because they are longer than allowed.
type oversizedAnswers struct {
	set *metrics.Set
	log logrus.FieldLogger

	mu sync.Mutex
	// logged has when a server was last named in a log line, and omitted the answers since then, by server ID; guarded by mu.
	logged  map[string]time.Time
	omitted map[string]int
}

func newOversizedAnswers(set *metrics.Set, log logrus.FieldLogger) *oversizedAnswers {
	return &oversizedAnswers{set: set, log: log, logged: map[string]time.Time{}, omitted: map[string]int{}}
}

// observeAnswers makes the instance observe what servers' answers say of them.
func (i *Instance) observeAnswers() {
	i.backends.OnAdvisory(i.limiter.observe)
	i.backends.OnOversized(newOversizedAnswers(i.set, i.log).record)
}

// record records an answer of a server, part of which is oversized.
func (o *oversizedAnswers) record(s serving.Server, part string) {
	o.set.GetOrCreateCounter(`martenport_oversized_answers_total{part="` + part + `"}`).Inc()
	if omitted, due := o.lineDue(s.ID, clock.Now()); due {
		o.log.WithFields(logrus.Fields{"server": s.ID, "service": s.Service, "address": s.Address, "part": part, "omitted": omitted}).
			Warn("server sent an oversized answer, which may have no end")
	}
}

// lineDue reports whether a log line may name the server again, and how many answers it stands for besides the last.
func (o *oversizedAnswers) lineDue(server string, now time.Time) (omitted int, due bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, known := o.logged[server]; known && now.Sub(last) < oversizedLogInterval {
		o.omitted[server]++
		return 0, false
	}
	omitted = o.omitted[server]
	o.dropOld(now)
	o.logged[server] = now
	delete(o.omitted, server)
	return omitted, true
}

// dropOld drops what is known of servers that were named long ago. o.mu must be held.
func (o *oversizedAnswers) dropOld(now time.Time) {
	for id, last := range o.logged {
		if now.Sub(last) >= oversizedLogInterval {
			delete(o.logged, id)
			delete(o.omitted, id)
		}
	}
}
