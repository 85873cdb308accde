package overload

import (
	"slices"
	"time"
)

const (
	// lagWindow is how long a sample counts: a few requests' time, so that single delays do not matter.
	lagWindow = time.Second
	// minLagSamples is the number of samples from which the lag is known.
	minLagSamples = 4
	// lagQuantile is the quantile of the samples that is the lag: a quarter of the work runs later than that.
	lagQuantile = 0.75
	// maxClockDifference is the largest difference between the steady clock and the one that counts suspensions that
	// reading them one after the other explains.
	maxClockDifference = 20 * time.Millisecond
	// maxLagSample is the longest delay of one sample that counts as lag. A process that did not run at all for longer
	// was frozen.
	maxLagSample = time.Second
)

// Lag measures how late an instance's own work runs, from how much longer than planned its pauses take. It answers a
// shortage of processor time, whatever its cause. Times in which the machine was suspended or the process frozen do not
// count. It is not safe for concurrent use.
type Lag struct {
	last    time.Time
	samples []lagSample
}

type lagSample struct {
	at    time.Time
	delay time.Duration
}

// Observe records a pause that has just ended. planned is how long it was to take, steady how long it took by the clock
// that does not count suspensions, and at is the time by the one that does. It returns false, and forgets all samples,
// if the machine was suspended or the process frozen.
func (l *Lag) Observe(at time.Time, planned, steady time.Duration) bool {
	elapsed := at.Sub(l.last)
	first := l.last.IsZero()
	l.last = at
	if !first && (elapsed-steady).Abs() > maxClockDifference || steady-planned > maxLagSample {
		l.samples = l.samples[:0]
		return false
	}
	l.samples = slices.DeleteFunc(l.samples, func(s lagSample) bool { return at.Sub(s.at) > lagWindow })
	l.samples = append(l.samples, lagSample{at: at, delay: max(0, steady-planned)})
	return true
}

// Value returns the lag, 0 while it is not known.
func (l *Lag) Value() time.Duration {
	if len(l.samples) < minLagSamples {
		return 0
	}
	delays := make([]time.Duration, 0, len(l.samples))
	for _, s := range l.samples {
		delays = append(delays, s.delay)
	}
	slices.Sort(delays)
	return delays[int(lagQuantile*float64(len(delays)-1))]
}
