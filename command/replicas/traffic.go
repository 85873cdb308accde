package replicas

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// ClassTraffic counts the requests for a model of one traffic class at an instance since its last report. Instances
// report it for contended services only.
type ClassTraffic struct {
	Service, Model string
	Class          serving.TrafficClass
	// Arrived counts all requests, and Returned those among them that had been refused and counted shortly before.
	Arrived, Returned int
	// Refused is the number of requests that were refused for lack of room, except those counted shortly before.
	Refused int
	// Answered is the number of answered requests, and RunTime how long they ran in total.
	Answered int
	RunTime  time.Duration
}

// The bounds of what one report may state, so that a wrong number does not disturb other classes.
const (
	maxReported = 100_000
	maxRunTime  = 10 * time.Minute
	// maxClasses bounds the classes of one service.
	maxClasses = 16
	// classLifetime is how long a class without requests is remembered.
	classLifetime = time.Minute
)

// bounded returns the traffic with all fields within their bounds.
func (t ClassTraffic) bounded() ClassTraffic {
	t.Class = t.Class.Bounded()
	t.Arrived, t.Answered = boundedCount(t.Arrived), boundedCount(t.Answered)
	t.Returned = min(t.Arrived, boundedCount(t.Returned))
	t.RunTime = min(maxRunTime*time.Duration(t.Answered), max(0, t.RunTime))
	return t
}

func boundedCount(n int) int { return min(maxReported, max(0, n)) }

// trafficWindow is the time constant of the traffic by class: a burst is to be noticed within a second or two.
const trafficWindow = 2 * time.Second

// classDemand is the smoothed traffic of one class for one model, per second.
type classDemand struct {
	class serving.TrafficClass
	// arrived counts every send of a client, distinct each request once.
	arrived, distinct, answered float64
}

// RecordClassTraffic records the traffic of one class for a model.
func (f *Fleet) RecordClassTraffic(t ClassTraffic, now time.Time) {
	t = t.bounded()
	f.decay(now)
	window := trafficWindow.Seconds()
	d := f.demandFor(t.Model)
	d.service = t.Service
	d.answered += float64(t.Answered) / window
	d.runSeconds += t.RunTime.Seconds() / window
	f.runTime.observe(t.Answered, t.RunTime)
	c := d.classOf(f.room.admitClass(t.Service, t.Class, now))
	c.arrived += float64(t.Arrived) / window
	c.distinct += float64(t.Arrived-t.Returned) / window
	c.answered += float64(t.Answered) / window
}

// RecordRefused records that n requests for a model were refused for lack of room and still want to be served. A
// request that comes back must not be counted again within seconds.
func (f *Fleet) RecordRefused(model string, _ serving.TrafficClass, n int, now time.Time) {
	if n = boundedCount(n); n == 0 {
		return
	}
	f.decay(now)
	f.demandFor(model).Refused += float64(n) / trafficWindow.Seconds()
}

// demandFor returns the record of the demand for a model, which it creates if there is none.
func (f *Fleet) demandFor(model string) *Demand {
	d := f.demand[model]
	if d == nil {
		d = &Demand{}
		f.demand[model] = d
	}
	return d
}

// classOf returns the record of a class, which it creates if there is none.
func (d *Demand) classOf(class serving.TrafficClass) *classDemand {
	for i := range d.classes {
		if d.classes[i].class == class {
			return &d.classes[i]
		}
	}
	d.classes = append(d.classes, classDemand{class: class})
	return &d.classes[len(d.classes)-1]
}

// decayClasses lowers what is measured by class, and the rates that follow from it.
func (d *Demand) decayClasses(keep float64) {
	d.Refused *= keep
	d.answered *= keep
	d.runSeconds *= keep
	for i := range d.classes {
		c := &d.classes[i]
		c.arrived *= keep
		c.distinct *= keep
		c.answered *= keep
	}
}

// offered returns how many requests for a model would run concurrently if none were refused: by Little's law, the rate
// of refused requests times the mean run time, and those that run.
func (f *Fleet) offered(d *Demand) float64 { return d.Running + d.Refused*f.meanRunTime(d) }

// minAnswered is the rate, in requests per second, from which the run time of a model's own requests is used.
const minAnswered = 0.5

// meanRunTime returns the mean run time of a model's requests in seconds: that of all models while there are too few
// answers.
func (f *Fleet) meanRunTime(d *Demand) float64 {
	if d.answered >= minAnswered {
		return d.runSeconds / d.answered
	}
	if f.runTime > 0 {
		return float64(f.runTime)
	}
	return f.params.RunningWait.Seconds()
}

// runTime is the smoothed mean run time of the requests for all models in seconds, 0 until it is known.
type runTime float64

// runTimeRequests is the number of requests over which the mean run time is smoothed.
const runTimeRequests = 500

// observe records requests that were answered, and how long they ran in total.
func (r *runTime) observe(answered int, total time.Duration) {
	if answered <= 0 {
		return
	}
	mean := total.Seconds() / float64(answered)
	if *r == 0 {
		*r = runTime(mean)
		return
	}
	gain := float64(answered) / float64(answered+runTimeRequests)
	*r += runTime(gain * (mean - float64(*r)))
}
