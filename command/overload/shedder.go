package overload

import "time"

// ShedderParams bound when and for how long an instance sheds connections.
type ShedderParams struct {
	// Sustain is how long the lag must be too high before shedding begins.
	Sustain time.Duration
	// MinDuration and MaxDuration bound the time of shedding. A shorter one has no effect at the load balancer.
	MinDuration, MaxDuration time.Duration
	// MinReady is the minimum time between two times of shedding, and before the first one. With MaxDuration it bounds
	// the share of time in which the instance is not ready.
	MinReady time.Duration
	// CloseDelay is how long after shedding has begun clients' connections are closed after an answer: before, the
	// load balancer sends their next connection here again.
	CloseDelay time.Duration
}

// DefaultShedderParams returns the parameters for a load balancer that notices an unready instance within
// balancerDelay.
func DefaultShedderParams(balancerDelay time.Duration) ShedderParams {
	const (
		sustain  = time.Second
		duration = 5 * time.Second
		// readyPerShed keeps the share of time spent shedding at a tenth, so that a whole domain that is short of
		// processor time still serves.
		readyPerShed = 9
	)
	return ShedderParams{
		Sustain: sustain, MinDuration: balancerDelay + sustain, MaxDuration: duration, MinReady: readyPerShed * duration, CloseDelay: balancerDelay,
	}
}

const (
	// stepsPerRequest is how often a request waits for the processor before its first event: to be read, chosen a
	// server for, sent, and relayed.
	stepsPerRequest = 4
	// maxLagShare is the part of an objective that those waits may take. The servers need the rest.
	maxLagShare = 0.5
	// minBearableLag is above the precision of timers.
	minBearableLag = 20 * time.Millisecond
	// holderLagShare is the part of the bearable lag that a lease holder bears: all instances wait for its work.
	holderLagShare = 0.5
	// recoveryShare is the part of the bearable lag below which shedding ends early.
	recoveryShare = 0.5
)

// BearableLag returns the lag that callers of the shortest objective can bear, 0 if there is no objective.
func BearableLag(objective time.Duration, holdsLease bool) time.Duration {
	if objective <= 0 {
		return 0
	}
	bearable := time.Duration(float64(objective) * maxLagShare / stepsPerRequest)
	if holdsLease {
		bearable = time.Duration(float64(bearable) * holderLagShare)
	}
	return max(minBearableLag, bearable)
}

// Shedder decides when an instance that falls behind should get no new connections, since other instances may have
// time. It never concerns requests that have been read. It is not safe for concurrent use.
type Shedder struct {
	params ShedderParams
	// lateSince is when the lag became too high; zero while it is not.
	lateSince time.Time
	shedding  bool
	// changedAt is when shedding last began or ended.
	changedAt time.Time
}

// NewShedder returns a Shedder of an instance that has just started.
func NewShedder(p ShedderParams, now time.Time) *Shedder { return &Shedder{params: p, changedAt: now} }

// Shedding reports whether the instance should get no new connections.
func (s *Shedder) Shedding() bool { return s.shedding }

// Closing reports whether clients should be asked to open their next connection elsewhere.
func (s *Shedder) Closing(now time.Time) bool {
	return s.shedding && now.Sub(s.changedAt) >= s.params.CloseDelay
}

// Update decides by the current lag and the bearable one, 0 if there is no bound, and reports whether shedding has begun
// or ended.
func (s *Shedder) Update(lag, bearable time.Duration, now time.Time) (changed bool) {
	s.updateLateSince(lag, bearable, now)
	if s.shedding == s.decide(lag, bearable, now) {
		return false
	}
	s.shedding, s.changedAt = !s.shedding, now
	return true
}

func (s *Shedder) updateLateSince(lag, bearable time.Duration, now time.Time) {
	switch {
	case bearable <= 0 || lag < bearable:
		s.lateSince = time.Time{}
	case s.lateSince.IsZero():
		s.lateSince = now
	}
}

func (s *Shedder) decide(lag, bearable time.Duration, now time.Time) bool {
	lasted := now.Sub(s.changedAt)
	switch {
	case bearable <= 0 || lasted < 0:
		return false
	case !s.shedding:
		return lasted >= s.params.MinReady && !s.lateSince.IsZero() && now.Sub(s.lateSince) >= s.params.Sustain
	case lasted < s.params.MinDuration:
		return true
	default:
		return lasted < s.params.MaxDuration && float64(lag) >= recoveryShare*float64(bearable)
	}
}

// Interrupted records that the instance did not run for a while. It ends shedding, and reports whether there was any: what
// was known of the lag is out of date, and others have taken the instance's connections meanwhile.
func (s *Shedder) Interrupted(now time.Time) (changed bool) {
	changed = s.shedding
	s.shedding, s.changedAt, s.lateSince = false, now, time.Time{}
	return changed
}
