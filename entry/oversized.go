package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// oversizedLogInterval is the time between two log lines about oversized answers of one server.
const oversizedLogInterval = 10 * time.Second

// oversizedAnswers counts and logs the answers of servers that were given up because they are longer than allowed.
type oversizedAnswers struct {
	set   *metrics.Set
	log   logrus.FieldLogger
	lines *boundedlog.Lines
}

func newOversizedAnswers(set *metrics.Set, log logrus.FieldLogger) *oversizedAnswers {
	return &oversizedAnswers{set: set, log: log, lines: boundedlog.NewLines(oversizedLogInterval)}
}

// record records an answer of a server, part of which is oversized.
func (o *oversizedAnswers) record(s serving.Server, part string) {
	o.set.GetOrCreateCounter(`martenport_oversized_answers_total{part="` + part + `"}`).Inc()
	if omitted, due := o.lines.Due(s.ID, clock.Now()); due {
		o.log.WithFields(logrus.Fields{"server": s.ID, "service": s.Service, "address": s.Address, "part": part, "omitted": omitted}).
			Warn("server sent an oversized answer, which may have no end")
	}
}
