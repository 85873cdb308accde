package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
)

// faultyEngine is an engine behind a faulty connection, as seen by one instance.
type faultyEngine struct {
	backend.Engine
	w *simulation
}

func (e faultyEngine) Load(ctx context.Context, o backend.Order) (backend.Ack, error) {
	return e.order(ctx, func() (backend.Ack, error) { return e.Engine.Load(ctx, o) })
}

func (e faultyEngine) Unload(ctx context.Context, o backend.Order) (backend.Ack, error) {
	return e.order(ctx, func() (backend.Ack, error) { return e.Engine.Unload(ctx, o) })
}

func (e faultyEngine) Fence(ctx context.Context, epoch uint64) (backend.Report, error) {
	type answer struct {
		report backend.Report
		err    error
	}
	got := make(chan answer, 1)
	answered := e.w.deliver(ctx, func() {
		report, err := e.Engine.Fence(ctx, epoch)
		got <- answer{report, err}
	})
	if !answered {
		return backend.Report{}, backend.ErrUnknown
	}
	a := <-got
	return a.report, a.err
}

func (e faultyEngine) order(ctx context.Context, call func() (backend.Ack, error)) (backend.Ack, error) {
	type answer struct {
		ack backend.Ack
		err error
	}
	got := make(chan answer, 1)
	answered := e.w.deliver(ctx, func() {
		ack, err := call()
		e.w.checkLimits()
		got <- answer{ack, err}
	})
	if !answered {
		return backend.Ack{}, backend.ErrUnknown
	}
	a := <-got
	return a.ack, a.err
}

// faultyStore is the store behind a faulty connection, as seen by one instance.
type faultyStore struct {
	*standin.Platform
	w *simulation

	mu        sync.Mutex
	outageEnd time.Time // guarded by mu; end of this instance's current outage
}

func (s *faultyStore) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.w.chance(s.w.faults.storeOutage) {
		s.outageEnd = time.Now().Add(time.Duration(1+s.w.intN(3600)) * time.Second)
	}
	return time.Now().Before(s.outageEnd)
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.unreachable() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Platform.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.unreachable() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Platform.List(ctx, prefix)
}

// writeTimeout is how long an instance waits for the answer to a write.
const writeTimeout = 2 * time.Second

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	if s.unreachable() {
		return store.Object{}, store.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	type answer struct {
		obj store.Object
		err error
	}
	got := make(chan answer, 1)
	answered := s.w.deliver(ctx, func() {
		obj, err := s.Platform.Put(context.Background(), key, value, version)
		got <- answer{obj, err}
	})
	if !answered {
		return store.Object{}, store.ErrUnknown
	}
	a := <-got
	return a.obj, a.err
}
