package holder

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/replicas"
)

// maxTraffic bounds the models and classes that are taken from one report.
const maxTraffic = 1024

// roomInterval is the minimum time between two divisions of the room. Instances report less often.
const roomInterval = 100 * time.Millisecond

// recordTraffic records the traffic of an instance by class. h.mu must be held.
func (h *Holder) recordTraffic(traffic []replicas.ClassTraffic, now time.Time) {
	for _, t := range traffic[:min(len(traffic), maxTraffic)] {
		h.fleet.RecordClassTraffic(t, now)
		h.fleet.RecordRefused(t.Model, t.Class, t.Refused, now)
	}
}

// roomLogInterval is the minimum time between two log lines about models that lack copies.
const roomLogInterval = 5 * time.Second

// reportRoom logs and counts which classes are short of room and which models lack copies. h.mu must be held.
func (h *Holder) reportRoom(now time.Time) {
	if now.Sub(h.roomReportedAt) < roomReportInterval {
		return
	}
	h.roomReportedAt = now
	for _, c := range h.fleet.ShortageChanges(now) {
		message := "class has enough room again"
		if c.Short {
			message = "class is short of room"
		}
		h.log.WithFields(logrus.Fields{
			"service": c.Service, "priority": c.Class.Priority, "objective_ms": c.Class.Objective.Milliseconds(), "share": percent(c.Share),
			"requested": math.Round(c.Requested), "offered": math.Round(c.Offered), "served": math.Round(c.Served), "guaranteed": math.Round(c.Guaranteed),
		}).Info(message)
	}
	s := h.fleet.CopyShortages(now)
	h.metrics.observeRoom(h.fleet.ClassRooms(), s.Models)
	if s.Models == 0 || now.Sub(h.copiesLoggedAt) < roomLogInterval {
		return
	}
	h.copiesLoggedAt = now
	h.log.WithFields(logrus.Fields{"models": s.Models, "model": s.Model, "copies": s.Copies, "wanted": s.Wanted, "offered": s.Offered, "running": s.Running}).
		Info("models have fewer copies than their demand needs")
}

// roomReportInterval is how often the room is reported to operators.
const roomReportInterval = time.Second / 2

func percent(share float64) float64 { return math.Round(100*share) / 100 }

// dropRoom removes the gauges of the room: only the holder knows it.
func (h *Holder) dropRoom() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.metrics.setRoom(nil)
}

// observeRoom sets the gauges of the room of classes. There are at most sixteen classes of a service.
func (m *Metrics) observeRoom(rooms []replicas.ClassRoom, modelsShort int) {
	values := map[string]float64{"martenport_models_short_of_copies": float64(modelsShort)}
	for _, r := range rooms {
		labels := fmt.Sprintf(`service=%q,priority="%d",objective_ms="%d"`, r.Service, r.Class.Priority, r.Class.Objective.Milliseconds())
		for kind, requests := range map[string]float64{"requested": r.Requested, "offered": r.Offered, "served": r.Served, "guaranteed": r.Guaranteed, "lent": r.Lent} {
			values["martenport_class_requests{"+labels+`,kind="`+kind+`"}`] = requests
		}
		values["martenport_class_admitted_share{"+labels+"}"] = r.Share
	}
	m.setRoom(values)
}

// setRoom replaces the gauges of the room.
func (m *Metrics) setRoom(values map[string]float64) {
	for name := range m.roomGauges {
		if _, kept := values[name]; !kept {
			m.set.UnregisterMetric(name)
			delete(m.roomGauges, name)
		}
	}
	for name, value := range values {
		m.set.GetOrCreateGauge(name, nil).Set(value)
		m.roomGauges[name] = struct{}{}
	}
}
