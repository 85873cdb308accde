package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// BenchmarkWant measures one request for a model that no engine has, while twenty other models are wanted, for the
// current number of engines and the number expected in two years.
func BenchmarkWant(b *testing.B) {
	for _, engines := range []int{9, 90, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := busyFleet(now, engines)
			for i := range 20 {
				f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 3*engines+i)}, waitingOnTime(1), now)
			}
			for b.Loop() {
				f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 3*engines+21)}, waitingOnTime(1), now)
				f.Dispatch(now)
			}
		})
	}
}

// busyFleet has three models on each engine, five times as many models as engines on disks, and every engine busy.
func busyFleet(now time.Time, engines int) *Fleet {
	var names []string
	for i := range 5 * engines {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	spec := testSpec(names...)
	f := NewFleet(DefaultParams())
	var servers []serving.Server
	for i := range engines {
		s := serving.Server{ID: fmt.Sprintf("e%03d", i), Service: "llm", Models: map[string][]string{}, Tiers: map[string]serving.Tier{}}
		for j := range 17 {
			s.Tiers[names[(i+j*engines/3)%len(names)]] = serving.TierDisk
		}
		for j := range 3 {
			s.Models[names[3*i+j]] = nil
		}
		servers = append(servers, s)
	}
	f.SetServers(servers, func(string) *serving.EngineSpec { return spec })
	for _, s := range servers {
		f.Adopt(s.ID, serving.Report{Models: s.Models}, now)
		e := f.Engine(s.ID)
		e.Busy, e.FreeAt = true, now.Add(time.Second)
	}
	return f
}

// BenchmarkDispatch measures one decision while sixty models are wanted, one in ten of them on no disk, and three in
// four engines are busy: what a holder does for each request of an instance and each load that ends.
func BenchmarkDispatch(b *testing.B) {
	for _, engines := range []int{9, 124, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := busyFleet(now, engines)
			names := 5 * engines
			for i := range min(60, 2*engines) {
				model := fmt.Sprintf("m%d", names-1-i)
				if i%10 == 0 {
					for _, e := range f.Engines() {
						e.Tiers[model] = serving.TierRemote
					}
				}
				f.Find("llm", serving.Unit{Model: model}, waitingOnTime(1), now)
			}
			f.index = index{}
			for i, e := range f.Engines() {
				if i%4 == 0 { // free, but without tokens for loads from the weight store
					e.Busy = false
				}
			}
			f.remoteLimiter.tokens = 0
			for b.Loop() {
				for _, op := range f.Dispatch(now) {
					f.Withdrawn(op)
				}
			}
		})
	}
}

// BenchmarkDispatchAfterTakeOver measures the decision when a new holder may first order engines: 124 are free, and
// requests wait for 250 models.
func BenchmarkDispatchAfterTakeOver(b *testing.B) {
	const engines, waited = 124, 250
	now := time.Unix(1000, 0)
	f := busyFleet(now, engines)
	for i := range waited {
		f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 5*engines-1-i)}, waitingOnTime(1), now)
	}
	for _, e := range f.Engines() {
		e.Busy = false
	}
	for b.Loop() {
		for _, op := range f.Dispatch(now) {
			f.Withdrawn(op)
		}
	}
}

// BenchmarkRoom measures the division of the room of all engines, each short, with three models for two classes on each:
// what a holder does ten times a second under a burst.
func BenchmarkRoom(b *testing.B) {
	for _, engines := range []int{9, 124, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := busyFleet(now, engines)
			for _, e := range f.Engines() {
				for model, c := range e.Copies {
					c.Running = 8
					for _, class := range []serving.TrafficClass{urgentClass, patientClass} {
						f.RecordClassTraffic(ClassTraffic{Service: "llm", Model: model, Class: class, Arrived: 20, Answered: 8, RunTime: 16 * time.Second}, now)
					}
				}
			}
			for b.Loop() {
				f.Room(now)
			}
		})
	}
}

// BenchmarkDispatchContended measures one decision while patient requests wait for 250 models of a contended service and
// a quarter of 124 engines are free, all models looked at anew and only those that are due.
func BenchmarkDispatchContended(b *testing.B) {
	const engines, waited = 124, 250
	for _, anew := range []bool{true, false} {
		b.Run(fmt.Sprintf("anew=%t", anew), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := busyFleet(now, engines)
			f.SetContended(map[string]bool{"llm": true})
			for i, e := range f.Engines() {
				e.Busy = i%4 != 0
			}
			for i := range waited {
				slack := Slack{Weight: 1, Start: time.Duration(3000+10*i) * time.Millisecond, Left: 15 * time.Second}
				f.SetWaiting("llm", fmt.Sprintf("m%d", 5*engines-1-i), Waiting{Instance: "instance", OnTime: 1, Slack: []Slack{slack}}, now)
			}
			for b.Loop() {
				for _, op := range f.Dispatch(now) {
					f.Withdrawn(op)
				}
				if anew {
					for _, w := range f.wantedModels {
						w.deferredUntil = time.Time{}
					}
				}
			}
		})
	}
}
