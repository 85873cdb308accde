package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// lagSampleInterval is how often the lag is sampled: a few samples in the time in which one request is served, for a
// few microseconds each.
const lagSampleInterval = 50 * time.Millisecond

// connShedder sends new connections to other instances while this one is short of processor time. Requests that have
// been read are served.
type connShedder struct {
	config     func() *serving.Config
	holdsLease func() bool
	log        logrus.FieldLogger
	closed     *metrics.Counter
	begun      *metrics.Counter

	mu      sync.Mutex
	lag     overload.Lag      // guarded by mu
	shedder *overload.Shedder // guarded by mu
	// admission decides which new connections are kept, and closing is whether some are closed; guarded by mu.
	admission *overload.ConnAdmission
	closing   bool
	// objective is the shortest objective of objectiveOf; guarded by mu.
	objective   time.Duration
	objectiveOf *serving.Config
}

func newConnShedder(config func() *serving.Config, holdsLease func() bool, maxConns int, set *metrics.Set, log logrus.FieldLogger) *connShedder {
	s := &connShedder{
		config: config, holdsLease: holdsLease, log: log, shedder: overload.NewShedder(overload.DefaultShedderParams(balancerDelay), clock.Now()),
		admission: overload.NewConnAdmission(overload.DefaultConnAdmissionParams(maxConns)),
		closed:    set.NewCounter("martenport_connections_shed_total"), begun: set.NewCounter("martenport_sheddings_total"),
	}
	set.NewGauge("martenport_scheduling_lag_seconds", func() float64 { return s.currentLag().Seconds() })
	set.NewGauge("martenport_shedding", func() float64 {
		if s.active() {
			return 1
		}
		return 0
	})
	return s
}

// run samples the lag until ctx ends.
func (s *connShedder) run(ctx context.Context) {
	last := time.Now()
	for pause.For(ctx, lagSampleInterval) {
		now := time.Now()
		s.observe(clock.Exact(), now.Sub(last))
		last = now
	}
}

// observe takes one sample: a pause of lagSampleInterval has taken steady, by the clock that does not count suspensions.
func (s *connShedder) observe(at time.Time, steady time.Duration) {
	holder := s.holdsLease()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lag.Observe(at, lagSampleInterval, steady) {
		s.admission.Reset()
		if s.shedder.Interrupted(at) {
			s.log.WithField("cause", "interrupted").Info("shedding of connections ended")
		}
		return
	}
	lag, bearable := s.lag.Value(), overload.BearableLag(s.shortestObjective(), holder)
	if bearable > 0 {
		s.admission.Observe(max(0, steady-lagSampleInterval))
	}
	s.logClosing()
	if !s.shedder.Update(lag, bearable, at) {
		return
	}
	log := s.log.WithFields(logrus.Fields{"lag_ms": lag.Milliseconds(), "bearable_ms": bearable.Milliseconds(), "holder": holder})
	if !s.shedder.Shedding() {
		log.WithField("cause", "lag").Info("shedding of connections ended")
		return
	}
	s.begun.Inc()
	log.Info("shedding of connections begins")
}

// logClosing logs when the instance begins to close new connections because it falls behind, and when it ends. s.mu must
// be held.
func (s *connShedder) logClosing() {
	closing := !s.admission.Admit(0, 0)
	if closing == s.closing {
		return
	}
	s.closing = closing
	s.log.WithFields(logrus.Fields{"closing": closing, "lag_ms": s.lag.Value().Milliseconds()}).Info("whether new connections are closed unread has changed")
}

// admit decides whether to keep a new connection beside the given number of open ones.
func (s *connShedder) admit(open int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Admit(open, rand.Float64())
}

// shortestObjective returns the shortest objective of the routes, 0 if there is none. s.mu must be held.
func (s *connShedder) shortestObjective() time.Duration {
	config := s.config()
	if config == nil || config == s.objectiveOf {
		return s.objective
	}
	s.objective, s.objectiveOf = 0, config
	for i := range config.Routes {
		if o := config.Routes[i].Objective; o > 0 && (s.objective == 0 || o < s.objective) {
			s.objective = o
		}
	}
	return s.objective
}

// active reports whether the instance should get no new connections.
func (s *connShedder) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedder.Shedding()
}

func (s *connShedder) currentLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lag.Value()
}

// closeWhileShedding makes clients open their next connection to another instance while this one sheds connections.
func (s *connShedder) closeWhileShedding(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		closing := s.shedder.Closing(clock.Now())
		s.mu.Unlock()
		if closing {
			s.closed.Inc()
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
