package replicas

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The load that TestAdmission simulates: five engines with twelve slots, requests of 1.6 s on average that have to start
// within 280 ms, clients that disconnect after 2.4 s, and reports that take .6 s to the holder and .6 s back.
const (
	admitEngines   = 5
	admitSlots     = 12
	admitRequest   = 1600 * time.Millisecond
	admitOnTime    = 280 * time.Millisecond
	admitMaxWait   = 2400 * time.Millisecond
	admitStep      = 20 * time.Millisecond
	admitReportAge = 600 * time.Millisecond
	admitLength    = 60 * time.Second
)

// admitEngine runs as many requests as it has slots and queues the others.
type admitEngine struct{ ends, queued []time.Duration }

// step ends and starts requests. It returns how many ended, and how many started on time and late.
func (e *admitEngine) step(now time.Duration, random *rand.Rand) (ended, onTime, late int) {
	var running []time.Duration
	for _, end := range e.ends {
		if end > now {
			running = append(running, end)
		}
	}
	ended = len(e.ends) - len(running)
	for len(running) < admitSlots && len(e.queued) > 0 {
		waited := now - e.queued[0]
		e.queued = e.queued[1:]
		switch {
		case waited > admitMaxWait:
			continue
		case waited > admitOnTime:
			late++
		default:
			onTime++
		}
		running = append(running, now+time.Duration(random.ExpFloat64()*float64(admitRequest)))
	}
	e.ends = running
	return ended, onTime, late
}

// admitSample is the state after one step.
type admitSample struct {
	load             float64
	requested, ended int
	share            float64
}

// simulateAdmission sends factor times the requests that the engines can serve, and returns the shares of the requests
// that were on time, late and refused.
func simulateAdmission(factor float64, refuse bool) (onTime, late, refused float64) {
	random := rand.New(rand.NewPCG(5, 6))
	engines := make([]admitEngine, admitEngines)
	var history []admitSample
	lag := int(admitReportAge / admitStep)
	perStep := factor * admitEngines * admitSlots / admitRequest.Seconds() * admitStep.Seconds()
	keep := 1 - admitStep.Seconds()/DefaultParams().DemandWindow.Seconds()
	sent, pending, requested, served := 0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < admitLength; now += admitStep {
		share := 1.0
		if n := len(history); refuse && n > lag {
			share = history[n-lag].share
		}
		m := admitSample{share: 1}
		for pending += perStep * random.ExpFloat64(); pending >= 1; pending-- {
			sent++
			m.requested++
			if random.Float64() >= share {
				refused++
				continue
			}
			a, b := &engines[random.IntN(admitEngines)], &engines[random.IntN(admitEngines)]
			if len(b.ends)+len(b.queued) < len(a.ends)+len(a.queued) {
				a = b
			}
			a.queued = append(a.queued, now)
		}
		occupied := 0
		for i := range engines {
			ended, o, l := engines[i].step(now, random)
			m.ended += ended
			onTime += float64(o)
			late += float64(l)
			occupied += len(engines[i].ends) + len(engines[i].queued)
		}
		m.load = float64(occupied) / (admitEngines * admitSlots)
		history = append(history, m)
		if n := len(history); n > lag {
			delayed := history[n-lag]
			requested = requested*keep + float64(delayed.requested)
			served = served*keep + float64(delayed.ended)
			history[n-1].share = admissionShare(delayed.load, requested, served)
		}
	}
	return onTime / float64(sent), late / float64(sent), refused / float64(sent)
}

// TestAdmission: under overload most of the requests that can be served are on time, and below the capacity almost none
// are refused.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		factor               float64 // of the capacity
		onTimeWithout        float64 // at most, without refusals
		onTimeWith, refusals float64 // at least and at most
	}{
		{0.6, 1, 0.98, 0.01},
		{0.8, 1, 0.97, 0.01},
		{1.1, 0.15, 0.50, 0.2},
		{1.5, 0.10, 0.20, 0.45},
		{2.5, 0.05, 0.08, 0.7},
	} {
		without, _, _ := simulateAdmission(c.factor, false)
		onTime, late, refused := simulateAdmission(c.factor, true)
		if without > c.onTimeWithout || onTime < c.onTimeWith || refused > c.refusals {
			t.Errorf("%.1f times the capacity: %.2f on time, %.2f late, %.2f refused; %.2f on time without refusals; want %.2f on time and %.2f refused",
				c.factor, onTime, late, refused, without, c.onTimeWith, c.refusals)
		}
	}
}

// TestAdmissionsCoverOverloadedModelsOnly: Admissions has a share for a model whose engines are overloaded, and none for
// a model whose engines have free slots or that gets few requests.
func TestAdmissionsCoverOverloadedModelsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3"), []string{"m1", "m3"}, []string{"m2"})
	for _, e := range f.Engines() {
		e.Server.Slots = admitSlots
	}
	for _, model := range []string{"m1", "m2"} {
		f.RecordArrivals(model, Arrivals{Count: 100, Weight: 100, Deferrable: 100, Served: 40}, now)
	}
	f.RecordArrivals("m3", Arrivals{Count: 1, Weight: 1, Deferrable: 1}, now)
	f.Engine("a-engine").Copies["m1"].Running = 2 * admitSlots
	f.Engine("b-engine").Copies["m2"].Running = admitSlots / 2
	shares := f.Admissions(now)
	if len(shares) != 1 || shares["m1"] > 0.4 || shares["m1"] < minAdmittedShare {
		t.Errorf("%v, want only m1, with a share of .4 at most", shares)
	}
}
