// Package standin holds small stand-ins for the systems outside: the
// platform's object API, model engines with their weight store, and plain
// services. They do what the brief says of the real ones, faults included,
// and are used by tests and by martendev.
package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenport/martenport/store"
)

// watchWait is how long a watch waits for a change before it answers empty.
const watchWait = 5 * time.Second

// maxValueBytes is the largest value that the platform takes.
const maxValueBytes = 1 << 20

// Platform is an in-memory store.Store with faults.
type Platform struct {
	// Reads, Writes and Watches count calls, failed ones included.
	Reads, Writes, Watches atomic.Int64

	mu       sync.Mutex
	objects  map[string]store.Object // guarded by mu
	revision store.Revision          // the last one given out; guarded by mu
	changed  chan struct{}           // guarded by mu; closed at each change
	down     bool                    // guarded by mu
	delay    time.Duration           // guarded by mu
	lose     int                     // guarded by mu; answers of writes still to lose
	deaf     bool                    // guarded by mu; watches are not answered
	copied   Copy                    // the copy that was asked for last; guarded by mu
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage: calls fail and are not carried out.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetDelay makes each call wait before it is carried out.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// DeafenWatches begins or ends that watches are not answered, those that wait and new ones. They
// stay without an answer when that is over; all other calls are answered.
func (p *Platform) DeafenWatches(deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = deaf
	p.wake()
}

func (p *Platform) enter(ctx context.Context) error {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return store.ErrUnknown
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Store.
func (p *Platform) Get(ctx context.Context, key string) (store.Object, error) {
	p.Reads.Add(1)
	if err := p.enter(ctx); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	obj, found := p.objects[key]
	if !found || obj.Deleted {
		return store.Object{}, store.ErrNotFound
	}
	return obj, nil
}

// List implements store.Store.
func (p *Platform) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	p.Reads.Add(1)
	if err := p.enter(ctx); err != nil {
		return store.Snapshot{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes(prefix, 0, false), nil
}

// Put implements store.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	p.Writes.Add(1)
	if err := p.enter(ctx); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(value) > maxValueBytes || liveVersion(p.objects[key]) != version {
		return store.Object{}, store.ErrConflict
	}
	if known := p.objects[key]; version != 0 && bytes.Equal(known.Value, value) {
		return known, p.answer() // what changes nothing makes no revision
	}
	return p.store(store.Object{Key: key, Value: slices.Clone(value)})
}

// Delete implements store.Store.
func (p *Platform) Delete(ctx context.Context, key string, version store.Revision) error {
	p.Writes.Add(1)
	if err := p.enter(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == 0 || liveVersion(p.objects[key]) != version {
		return store.ErrConflict
	}
	_, err := p.store(store.Object{Key: key, Deleted: true})
	return err
}

// store needs mu.
func (p *Platform) store(obj store.Object) (store.Object, error) {
	p.revision++
	obj.Version = p.revision
	p.objects[obj.Key] = obj
	p.wake()
	return obj, p.answer()
}

// answer needs mu. It fails with store.ErrUnknown if the answer of a write is to be lost.
func (p *Platform) answer() error {
	if p.lose == 0 {
		return nil
	}
	p.lose--
	return store.ErrUnknown
}

// wake needs mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// liveVersion is the version of an object, 0 when it does not exist.
func liveVersion(obj store.Object) store.Revision {
	if obj.Deleted {
		return 0
	}
	return obj.Version
}

// changes needs mu.
func (p *Platform) changes(prefix string, after store.Revision, deleted bool) store.Snapshot {
	snap := store.Snapshot{Revision: p.revision}
	for key, obj := range p.objects {
		if strings.HasPrefix(key, prefix) && obj.Version > after && (deleted || !obj.Deleted) {
			snap.Objects = append(snap.Objects, obj)
		}
	}
	slices.SortFunc(snap.Objects, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return snap
}

// Watch implements store.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, revision store.Revision) (store.Snapshot, error) {
	return p.watch(ctx, prefix, revision, watchWait)
}

// watch waits for a change for so long.
func (p *Platform) watch(ctx context.Context, prefix string, revision store.Revision, wait time.Duration) (store.Snapshot, error) {
	p.Watches.Add(1)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := p.enter(ctx); err != nil {
			return store.Snapshot{}, err
		}
		p.mu.Lock()
		snap, changed, deaf := p.changes(prefix, revision, true), p.changed, p.deaf
		p.mu.Unlock()
		if revision.Era() != snap.Revision.Era() || revision > snap.Revision {
			return snap, store.ErrCompacted
		}
		if deaf {
			<-ctx.Done()
			return store.Snapshot{}, store.ErrUnknown
		}
		if len(snap.Objects) > 0 {
			return snap, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return snap, nil
		case <-ctx.Done():
			return store.Snapshot{}, store.ErrUnavailable
		}
	}
}
