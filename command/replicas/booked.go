package replicas

import (
	"math"
	"time"
)

// ServedRate returns the number of deferrable requests of a model per second that its engines serve.
func (f *Fleet) ServedRate(model string, now time.Time) float64 {
	if d := f.demand[model]; d != nil {
		return f.sinceStart(d.Served, now)
	}
	return 0
}

// LessBooked returns a share of a model's deferrable requests to admit, lowered because the given number of requests
// per second is admitted besides.
func (f *Fleet) LessBooked(model string, share, booked float64, now time.Time) float64 {
	d := f.demand[model]
	if d == nil || d.Deferrable <= 0 {
		return share
	}
	return min(share, max(minAdmittedShare, share-booked/f.sinceStart(d.Deferrable, now)))
}

// noteArrivals records when the first arrivals were reported.
func (f *Fleet) noteArrivals(now time.Time) {
	if f.arrivalsSince.IsZero() {
		f.arrivalsSince = now
	}
}

// sinceStart corrects a rate that is measured over the demand window for the part of the window in which there was no
// report yet. A ratio of two rates needs no correction.
func (f *Fleet) sinceStart(rate float64, now time.Time) float64 {
	elapsed := now.Sub(f.arrivalsSince)
	if f.arrivalsSince.IsZero() || elapsed <= 0 {
		return rate
	}
	return rate / (1 - math.Exp(-elapsed.Seconds()/f.params.DemandWindow.Seconds()))
}
