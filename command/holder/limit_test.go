package holder

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// fakeEngine is an engine that accepts orders at its sequence number and loads immediately.
type fakeEngine struct {
	mu       sync.Mutex
	models   map[string][]string // guarded by mu
	sequence int64               // guarded by mu
	orders   []serving.Order     // guarded by mu
}

func (f *fakeEngine) Order(_ context.Context, o serving.Order) (serving.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	if o.Expect != f.sequence {
		return serving.OrderConflict, nil
	}
	f.sequence++
	if o.Unload {
		delete(f.models, o.Unit.Model)
	} else {
		f.models[o.Unit.Model] = nil
	}
	return serving.OrderAccepted, nil
}

func (f *fakeEngine) Report(context.Context, serving.Server) (serving.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	models := map[string][]string{}
	for name := range f.models {
		models[name] = nil
	}
	return serving.Report{Models: models, Sequence: f.sequence}, nil
}

// loads returns the orders to load a model.
func (f *fakeEngine) loads(model string) (found []serving.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.orders {
		if !o.Unload && o.Unit.Model == model {
			found = append(found, o)
		}
	}
	return found
}

// hookedStore calls written after each write of a model's replica record.
type hookedStore struct {
	store.Store
	written func()
}

func (s hookedStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	obj, err := s.Store.Put(ctx, key, value, version)
	if strings.HasPrefix(key, prefixReplicas) {
		s.written()
	}
	return obj, err
}

// oneReplica limits every model to one replica.
type oneReplica struct{ limits.None }

func (oneReplica) Limit(string) (limits.Limit, bool) { return limits.Limit{Replicas: 1}, true }

// TestLimitedLoadUsesRecordedSequence: between the write of the record of a limited load and its order, another
// order, for example for an adapter, may increment the engine's sequence number. The load must then be recorded
// again and never be ordered at a sequence number that is not recorded, because a late load would not be counted.
func TestLimitedLoadUsesRecordedSequence(t *testing.T) {
	engine := &fakeEngine{models: map[string][]string{}}
	dir := directory.New()
	spec := &serving.EngineSpec{MemoryMB: 100, Models: map[string]serving.Model{"m": {Name: "m", MemoryMB: 10, DiskLoad: time.Millisecond}}}
	dir.ApplyConfig(&serving.Config{Version: 1, Services: map[string]serving.Service{"llm": {Name: "llm", Engine: spec}}})
	dir.ApplyServer(serving.Server{ID: "e", Service: "llm", Revision: 1, Tiers: map[string]serving.Tier{"m": serving.TierDisk}}, time.Now())
	dir.SetRevision(1, time.Now().Add(-directory.LapseGrace))
	log := logrus.New()
	log.SetOutput(io.Discard)
	platform := standin.NewPlatform()
	var h *Holder
	increments := 2
	hooked := hookedStore{Store: platform, written: func() {
		if increments == 0 {
			return
		}
		increments--
		engine.mu.Lock()
		engine.sequence++
		engine.mu.Unlock()
		h.mu.Lock()
		h.fleet.Ordered("e")
		h.mu.Unlock()
	}}
	params := DefaultParams("a", "a:1", time.Millisecond)
	params.ReportLag = time.Millisecond
	h = New(params, hooked, engine, dir, NewMetrics(metrics.NewSet()), log)
	h.SetReplicaLimits(oneReplica{})
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go h.Run(ctx)
	for limit := time.Now().Add(20 * time.Second); len(engine.loads("m")) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("no load of the model was ordered within 20 s")
		}
		_, _, _ = h.Want(Request{Service: "llm", Unit: serving.Unit{Model: "m"}, Waiting: replicas.Waiting{Instance: "i", OnTime: 1}}, time.Now())
	}
	record, _, err := store.Read[limits.Record](t.Context(), platform, prefixReplicas+"m")
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range engine.loads("m") {
		if o.Expect != record.Engines["e"] {
			t.Errorf("load ordered at sequence %d, recorded sequence is %d", o.Expect, record.Engines["e"])
		}
	}
	if increments != 0 || record.Engines["e"] != 2 {
		t.Errorf("recorded at sequence %d with %d increments left", record.Engines["e"], increments)
	}
}
