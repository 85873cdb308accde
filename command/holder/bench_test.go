package holder

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// Size of the simulated fleet.
const (
	benchEngines   = 124
	benchInstances = 195
	benchModels    = 667
)

// benchHolder returns a holder that holds the lease over engines with three loaded models each, which have 17 models
// on their disks.
func benchHolder(b testing.TB) *Holder {
	b.Helper()
	spec := &serving.EngineSpec{Slots: 12, MemoryMB: 310, AdapterSlots: 8, RemoteLoadsPerSecond: 48, Models: map[string]serving.Model{}}
	for i := range benchModels {
		name := fmt.Sprintf("m%d", i)
		spec.Models[name] = serving.Model{Name: name, MemoryMB: 100, RemoteLoad: 13 * time.Second, DiskLoad: 600 * time.Millisecond, MemoryLoad: 450 * time.Millisecond}
	}
	config := &serving.Config{Version: 1, Services: map[string]serving.Service{"llm": {Name: "llm", Engine: spec}}}
	if err := config.Index(); err != nil {
		b.Fatal(err)
	}
	dir := directory.New()
	dir.ApplyConfig(config)
	now := time.Now()
	for i := range benchEngines {
		s := serving.Server{
			ID: fmt.Sprintf("e%03d", i), Service: "llm", Slots: 12, Revision: 1, Models: map[string][]string{}, Tiers: map[string]serving.Tier{},
		}
		for j := range 17 {
			s.Tiers[fmt.Sprintf("m%d", (i*5+j)%benchModels)] = serving.TierDisk
		}
		for j := range 3 {
			s.Models[fmt.Sprintf("m%d", (i*5+j)%benchModels)] = nil
		}
		dir.ApplyServer(s, now)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := New(DefaultParams("holder", "10.0.0.1:1", time.Second), standin.NewPlatform(), nil, dir, NewMetrics(metrics.NewSet()), log)
	ctx, stop := context.WithCancel(context.Background())
	stop() // workers execute nothing
	h.ctx = ctx
	record, revision, err := h.Current(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	if err := h.TakeOver(b.Context(), record, revision, "free"); err != nil {
		b.Fatal(err)
	}
	return h
}

// benchReport returns the report of one instance: two requests run and one model is waited for.
func benchReport(instance int) Report {
	return Report{
		Name: fmt.Sprintf("instance-%d", instance), Domain: "d",
		Arrivals: []Arrivals{{Model: fmt.Sprintf("m%d", instance%benchModels), Arrivals: replicas.Arrivals{Count: 1, Weight: 1, Late: 1}}},
		Running: []Running{
			{Engine: fmt.Sprintf("e%03d", instance%benchEngines), Unit: serving.Unit{Model: fmt.Sprintf("m%d", instance%benchEngines*5)}, Count: 2},
		},
		Waiting: map[string]replicas.Waiting{fmt.Sprintf("m%d", (instance*7)%benchModels): {OnTime: 1}},
	}
}

// BenchmarkExchange measures one report of an instance, with 195 instances and 124 engines.
func BenchmarkExchange(b *testing.B) {
	h := benchHolder(b)
	reports := make([]Report, benchInstances)
	for i := range reports {
		reports[i] = benchReport(i)
	}
	for i := 0; b.Loop(); i++ {
		r := &reports[i%benchInstances]
		reply, err := h.Exchange(*r, time.Now())
		if err != nil {
			b.Fatal(err)
		}
		r.Fence, r.SeenViews, r.SeenServers = reply.Fence, reply.Seen, reply.Servers.Change
	}
}

// BenchmarkWant measures one call for a model that engines have only on their disks, while 195 instances wait for as
// many other models: 2 us. It was 58 us when each call copied the list of servers.
func BenchmarkWant(b *testing.B) {
	h := benchHolder(b)
	for i := range benchInstances {
		if _, err := h.Exchange(benchReport(i), time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	for i := 0; b.Loop(); i++ {
		unit := serving.Unit{Model: fmt.Sprintf("m%d", (i*5+4)%benchModels)}
		if _, _, err := h.Want(Request{Service: "llm", Unit: unit, Waiting: replicas.Waiting{Instance: "instance-1", OnTime: 1}}, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWantUnplaced measures one call for a model that waits for the weight store, while engines are free: the call
// for which loads are decided. With pacing, calls that come faster than the decision are answered from the record.
func BenchmarkWantUnplaced(b *testing.B) {
	for _, c := range []struct {
		name   string
		pacing overload.PacerParams
	}{{"pacing=off", overload.PacerParams{}}, {"pacing=on", overload.PacerParams{PauseFactor: dispatchPauseFactor, MaxPause: maxDispatchPause}}} {
		b.Run(c.name, func(b *testing.B) {
			h := loadableHolder(b)
			h.pacing.pacer = overload.NewPacer(c.pacing)
			for i := 0; b.Loop(); i++ {
				unit := serving.Unit{Model: fmt.Sprintf("m%d", firstRemote+i%6)}
				if _, _, err := h.Want(Request{Service: "llm", Unit: unit, Waiting: replicas.Waiting{Instance: "instance-1", OnTime: 1}}, time.Now()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(h.metrics.dispatches.Get())/float64(b.N), "dispatches/op")
		})
	}
}
