// Package standin provides stand-ins for external systems: the platform's object API, model engines with their
// weight store, and plain services. They follow the specification of the real systems, including their faults, and
// are used by tests and by martendev.
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

// watchWait is how long a watch waits for a change before it returns an empty result.
const watchWait = 5 * time.Second

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// reservedKinds are the kinds of which only the platform makes and deletes objects, besides those of its pages.
var reservedKinds = []string{"versions"}

// Platform is an in-memory store.Store with configurable faults.
type Platform struct {
	// Reads, Writes and Watches count calls, including failed ones.
	Reads, Writes, Watches atomic.Int64

	mu             sync.Mutex
	objects        map[string]store.Object // guarded by mu
	revision       store.Revision          // the last one assigned; guarded by mu
	changed        chan struct{}           // closed at each change; guarded by mu
	down           bool                    // guarded by mu
	delay          time.Duration           // guarded by mu
	answersToLose  int                     // number of answers to writes still to lose; guarded by mu
	watchesBlocked bool                    // watches get no answer; guarded by mu
	late           []LateWatches           // guarded by mu
	changeLog      []change                // the changes of the last changeLogTime; guarded by mu
	lastCopy       Copy                    // the last backup requested over HTTP; guarded by mu
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage, in which calls fail without effect.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyChange()
}

// SetDelay sets the delay of each call before it takes effect.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// BlockWatches sets whether pending and new watches get no answer. A watch without an answer stays pending when
// this ends. Other calls are not affected.
func (p *Platform) BlockWatches(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchesBlocked = blocked
	p.notifyChange()
}

func (p *Platform) beginCall(ctx context.Context) error {
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
	if err := p.beginCall(ctx); err != nil {
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
	if err := p.beginCall(ctx); err != nil {
		return store.Snapshot{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes(prefix, 0, false), nil
}

// Put implements store.Store.
func (p *Platform) Put(ctx context.Context, key string, value []byte, version store.Revision) (store.Object, error) {
	p.Writes.Add(1)
	if err := p.beginCall(ctx); err != nil {
		return store.Object{}, err
	}
	if isReserved(key) {
		return store.Object{}, store.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(value) > maxValueBytes || liveVersion(p.objects[key]) != version {
		return store.Object{}, store.ErrConflict
	}
	if known := p.objects[key]; version != 0 && bytes.Equal(known.Value, value) {
		return known, p.writeResult() // a write that changes nothing creates no revision
	}
	return p.storeObject(store.Object{Key: key, Value: slices.Clone(value)})
}

// Delete implements store.Store.
func (p *Platform) Delete(ctx context.Context, key string, version store.Revision) error {
	p.Writes.Add(1)
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	if isReserved(key) {
		return store.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == 0 || liveVersion(p.objects[key]) != version {
		return store.ErrConflict
	}
	_, err := p.storeObject(store.Object{Key: key, Deleted: true})
	return err
}

// isReserved reports whether an object is of a kind that only the platform writes.
func isReserved(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	return slices.Contains(reservedKinds, kind)
}

// storeObject stores an object under a new revision. p.mu must be held.
func (p *Platform) storeObject(obj store.Object) (store.Object, error) {
	p.revision++
	obj.Version = p.revision
	p.objects[obj.Key] = obj
	p.logChange(obj)
	p.notifyChange()
	return obj, p.writeResult()
}

// writeResult returns the error of a write that took effect: store.ErrUnknown if its answer is to be lost. p.mu
// must be held.
func (p *Platform) writeResult() error {
	if p.answersToLose == 0 {
		return nil
	}
	p.answersToLose--
	return store.ErrUnknown
}

// notifyChange wakes pending watches. p.mu must be held.
func (p *Platform) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// liveVersion returns the version of an object, or 0 if it does not exist.
func liveVersion(obj store.Object) store.Revision {
	if obj.Deleted {
		return 0
	}
	return obj.Version
}

// changes returns the objects under a prefix changed after a revision, including deleted ones if deleted is true.
// p.mu must be held.
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
	return p.watch(ctx, watchRequest{prefix: prefix, revision: revision, wait: watchWait})
}

// watchRequest asks for the changes under a prefix after a revision, and waits for one for at most the given time.
type watchRequest struct {
	prefix   string
	revision store.Revision
	wait     time.Duration
	// watcher is the IP address of the caller; "" within the process.
	watcher string
}

// watch waits for a change.
func (p *Platform) watch(ctx context.Context, req watchRequest) (store.Snapshot, error) {
	p.Watches.Add(1)
	timeout := time.NewTimer(req.wait)
	defer timeout.Stop()
	for {
		if err := p.beginCall(ctx); err != nil {
			return store.Snapshot{}, err
		}
		p.mu.Lock()
		snap, changed, blocked := p.changes(req.prefix, req.revision, true), p.changed, p.watchesBlocked
		visible, later := p.visibleTo(req, snap)
		p.mu.Unlock()
		if req.revision.Era() != snap.Revision.Era() || req.revision > snap.Revision {
			return snap, store.ErrCompacted
		}
		snap = visible
		if blocked {
			<-ctx.Done()
			return store.Snapshot{}, store.ErrUnknown
		}
		if len(snap.Objects) > 0 {
			return snap, nil
		}
		select {
		case <-changed:
		case <-later:
		case <-timeout.C:
			return snap, nil
		case <-ctx.Done():
			return store.Snapshot{}, store.ErrUnavailable
		}
	}
}
