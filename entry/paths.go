package entry

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/reachability"
	"github.com/martenport/martenport/serving"
)

// pathObserver logs and counts to which servers this instance can open connections.
type pathObserver struct {
	tracker *reachability.Tracker
	log     logrus.FieldLogger
}

func newPathObserver(set *metrics.Set, log logrus.FieldLogger) *pathObserver {
	o := &pathObserver{tracker: reachability.NewTracker(), log: log}
	set.NewGauge("martenport_servers_unreached", func() float64 { return float64(o.tracker.Unreached()) })
	return o
}

// changed logs a change of the paths to servers. err is nil if a connection was opened or an answer received.
func (o *pathObserver) changed(s serving.Server, c reachability.Change, err error) {
	fields := logrus.Fields{"server": s.ID, "service": s.Service, "unreached": o.tracker.Unreached()}
	if err != nil {
		fields["error"] = err
	}
	log := o.log.WithFields(fields)
	switch {
	case c.Service && err != nil:
		log.Warn("no server of the service can be reached from here")
	case c.Service:
		log.Info("servers of the service are reached again")
	case c.Path && err != nil:
		log.Info("server cannot be reached from here")
	case c.Path:
		log.Info("server is reached again")
	}
}
