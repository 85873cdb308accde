package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// BenchmarkWant measures one request for a model that no engine has, with twenty
// others wanted, at today's and at the two-year number of engines.
func BenchmarkWant(b *testing.B) {
	for _, engines := range []int{9, 90, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := busyFleet(now, engines)
			for i := range 20 {
				f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 3*engines+i)}, waits(1), now)
			}
			for b.Loop() {
				f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 3*engines+21)}, waits(1), now)
				f.Dispatch(now)
			}
		})
	}
}

// busyFleet has three models on each engine, five times as many on disks, and
// every engine busy.
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
		e.Busy, e.Free = true, now.Add(time.Second)
	}
	return f
}

// BenchmarkDispatch measures one decision while sixty models are wanted, one in ten of them
// on no disk, and every engine is busy or about to be: what a holder does for each question
// and each load that ends.
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
				f.Find("llm", serving.Unit{Model: model}, waits(1), now)
			}
			f.index = index{}
			for i, e := range f.Engines() {
				if i%4 == 0 { // as many are free as the store may not be asked for
					e.Busy = false
				}
			}
			f.remote.credit = 0
			for b.Loop() {
				for _, op := range f.Dispatch(now) {
					f.Withdrawn(op)
				}
			}
		})
	}
}

// BenchmarkDispatchAfterTakeOver measures the decision at the moment from which a new holder
// may order engines: 124 are free, and 250 models have been waited for.
func BenchmarkDispatchAfterTakeOver(b *testing.B) {
	const engines, waited = 124, 250
	now := time.Unix(1000, 0)
	f := busyFleet(now, engines)
	for i := range waited {
		f.Find("llm", serving.Unit{Model: fmt.Sprintf("m%d", 5*engines-1-i)}, waits(1), now)
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
