package entry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/internal/clock"
)

// semaphores are the semaphores of brittle servers that this instance keeps.
type semaphores struct {
	log logrus.FieldLogger

	mu sync.Mutex
	// byServer are the semaphores by server ID; guarded by mu.
	byServer map[string]*brittle.Semaphore
	// trustedFrom is from when on this instance would have heard of requests that other instances have in flight; guarded by mu.
	trustedFrom time.Time
	// lastTick is when the process was last known to run; guarded by mu.
	lastTick time.Time
}

const (
	// maxTickGap is the longest time between two checks of a process that was not suspended. It is shorter than the lifetime
	// of permits.
	maxTickGap = 1500 * time.Millisecond
	// semaphoreTrustDelay is how long after its start an instance trusts that it knows what others have in flight: they
	// renew their permits within that time.
	semaphoreTrustDelay = 3 * time.Second
	// semaphoreRetention is how long a semaphore is kept that is not used.
	semaphoreRetention = 30 * time.Second
)

func newSemaphores(set *metrics.Set, log logrus.FieldLogger) *semaphores {
	now := clock.Now()
	k := &semaphores{log: log, byServer: map[string]*brittle.Semaphore{}, trustedFrom: now.Add(semaphoreTrustDelay), lastTick: now}
	gauge := func(name string, value func(brittle.State) int) {
		set.NewGauge(name, func() float64 { return float64(k.sum(value)) })
	}
	gauge("martenport_semaphores", func(brittle.State) int { return 1 })
	gauge(`martenport_semaphore_requests{state="in_flight"}`, func(s brittle.State) int { return s.InFlight })
	gauge(`martenport_semaphore_requests{state="waiting"}`, func(s brittle.State) int { return s.Waiting })
	return k
}

// sum sums a value over all semaphores.
func (k *semaphores) sum(value func(brittle.State) int) (sum int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.byServer {
		sum += value(s.State())
	}
	return sum
}

// of returns the semaphore of a server. substitute is set if another instance is to keep it, but does not answer the caller.
func (k *semaphores) of(server brittle.Server, substitute bool) *brittle.Semaphore {
	now := clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkSuspension(now)
	s := k.byServer[server.ID]
	if s == nil {
		s = brittle.NewSemaphore(server, !substitute && !now.Before(k.trustedFrom))
		k.byServer[server.ID] = s
	}
	return s
}

// checkSuspension makes all semaphores learn anew if the process was suspended, since permits have expired and other
// instances may have granted some meanwhile. k.mu must be held.
func (k *semaphores) checkSuspension(now time.Time) {
	gap := now.Sub(k.lastTick)
	k.lastTick = now
	if gap <= maxTickGap {
		return
	}
	k.trustedFrom = now.Add(semaphoreTrustDelay)
	for _, s := range k.byServer {
		s.Distrust()
	}
}

// sweep drops the semaphores that are not used any more, and returns the number of the others. It is called at intervals below
// maxTickGap.
func (k *semaphores) sweep(now time.Time) (kept int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkSuspension(now)
	for id, s := range k.byServer {
		if now.Sub(s.State().UsedAt) > semaphoreRetention {
			delete(k.byServer, id)
		}
	}
	return len(k.byServer)
}

// release ends the use of a permit, and logs a rejection with what the semaphore knows.
func (k *semaphores) release(server brittle.Server, p brittle.Permit, o brittle.Outcome) {
	s := k.of(server, false)
	use := s.Release(p, o)
	if o != brittle.Rejected {
		return
	}
	state := s.State()
	k.log.WithFields(logrus.Fields{
		"server": server.ID, "instance": p.Instance, "permit": p.Number, "tolerated": server.Tolerated, "slots": server.Slots,
		"in_flight": state.InFlight, "proven": state.Proven, "waiting": state.Waiting, "rejections": state.Rejections,
		"unpermitted": state.Unpermitted, "abandoned": state.Abandoned, "permit_known": use.Known, "permit_age_ms": use.Age.Milliseconds(), "permit_level": use.Level, "doubtful": use.Doubtful,
	}).Info("brittle server has less room")
}
