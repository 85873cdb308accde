// Package runonce lets a non-idempotent request with a key run at most once,
// whichever instances and failure domains its key is sent to and whenever.
//
// Before such a request may start, an object with its key is created in the
// platform. Creation succeeds once for all instances, so the one that created
// it alone may start the request, without a clock, a lease or a view of the
// other instances coming into it. Where the platform cannot be reached the
// request is refused with a true NotRun. docs/DESIGN.md weighs the other ways.
package runonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// Record is the platform object of one key.
type Record struct {
	// Instance created the record and alone may start the request.
	Instance string `json:"instance"`
	// Nonce tells this creation from all others.
	Nonce string `json:"nonce"`
	// Fingerprint is a hash of the request's content.
	Fingerprint string `json:"fingerprint"`
	// CreatedMS is the wall time, for removal after the retention time only.
	CreatedMS int64 `json:"created_ms"`
}

// Params bound what is kept.
type Params struct {
	// Retention is how long a key is remembered.
	Retention time.Duration
	// MaxHeld bounds the answers held in memory for repeated keys.
	MaxHeld int
}

// Peers asks the instance that recorded a key for its answer.
type Peers interface {
	Answer(ctx context.Context, instance, key string) ([]byte, error)
}

// Registry is the account of keys of one instance.
type Registry struct {
	params   Params
	instance string
	store    store.Store
	peers    Peers

	mu   sync.Mutex
	runs map[string]*Run // guarded by mu; by hashed key
	done []string        // guarded by mu; hashed keys of finished runs, oldest first
}

// NewRegistry returns an empty registry of the named instance.
func NewRegistry(p Params, instance string, store store.Store, peers Peers) *Registry {
	return &Registry{params: p, instance: instance, store: store, peers: peers, runs: map[string]*Run{}}
}

// Run is one key's one run.
type Run struct {
	registry    *Registry
	key         string
	fingerprint string
	finished    chan struct{}
	// version of the platform object; 0 when it could not be created for sure.
	version store.Revision

	answer []byte // set before finished is closed
	err    error  // set before finished is closed
}

// Key returns the name under which a caller's key is kept: callers cannot
// guess or fill each other's, whatever bytes are in it.
func Key(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns the hash by which a request's content is recognised.
func Fingerprint(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Begin returns a Run that may be started, or the answer that the key's run
// gave, or a failure with the verdict that is true of the key.
func (r *Registry) Begin(ctx context.Context, key, fingerprint string) (*Run, []byte, error) {
	run, mine := r.enter(key, fingerprint)
	if !mine {
		return r.replay(ctx, run, fingerprint)
	}
	err := run.create(ctx)
	if err == nil {
		return run, nil, nil
	}
	run.finish(nil, err)
	r.forget(run)
	if errors.Is(err, store.ErrConflict) {
		return r.elsewhere(ctx, key, fingerprint)
	}
	return nil, nil, verdict.Refuse(verdict.ReasonPlatform, "the key cannot be recorded: %v", err).After(time.Second)
}

// enter notes the key here, so that a second send waits for the first.
func (r *Registry) enter(key, fingerprint string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, found := r.runs[key]; found {
		return run, false
	}
	run := &Run{registry: r, key: key, fingerprint: fingerprint, finished: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

func (r *Registry) forget(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[run.key] == run {
		delete(r.runs, run.key)
	}
}

func (r *Registry) replay(ctx context.Context, run *Run, fingerprint string) (*Run, []byte, error) {
	if run.fingerprint != fingerprint {
		return nil, nil, verdict.Refuse(verdict.ReasonKeyReused, "the key was used with other content")
	}
	answer, err := run.wait(ctx)
	return nil, answer, err
}

func (run *Run) wait(ctx context.Context) ([]byte, error) {
	select {
	case <-run.finished:
		return run.answer, run.err
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "the key's first send is still in progress")
	}
}

// create records the key. A lost answer is resolved by store.Write.
func (run *Run) create(ctx context.Context) error {
	r := run.registry
	value, err := json.Marshal(Record{
		Instance: r.instance, Nonce: uuid.NewString(),
		Fingerprint: run.fingerprint, CreatedMS: time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	obj, err := store.Write(ctx, r.store, store.PrefixRuns+run.key, value, 0)
	run.version = obj.Version
	return err
}

// elsewhere answers a key that another instance recorded.
func (r *Registry) elsewhere(ctx context.Context, key, fingerprint string) (*Run, []byte, error) {
	record, version, err := store.Read[Record](ctx, r.store, store.PrefixRuns+key)
	if err != nil || version == 0 {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTaken, "the key is recorded, its record cannot be read")
	}
	if record.Fingerprint != fingerprint {
		return nil, nil, verdict.Refuse(verdict.ReasonKeyReused, "the key was used with other content")
	}
	if record.Instance == r.instance {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTaken, "an earlier start of this instance recorded the key")
	}
	answer, err := r.peers.Answer(ctx, record.Instance, key)
	if err != nil {
		f := verdict.Of(err)
		return nil, nil, verdict.New(max(f.Verdict, verdict.MayHaveRun), verdict.ReasonKeyTaken, "instance %s recorded the key: %s", record.Instance, f.Detail)
	}
	return nil, answer, nil
}

// Answer returns the answer of a run recorded here, for another instance.
func (r *Registry) Answer(ctx context.Context, key string) ([]byte, error) {
	r.mu.Lock()
	run, found := r.runs[key]
	r.mu.Unlock()
	if !found {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTaken, "the answer is not held any more")
	}
	return run.wait(ctx)
}

// Finish records how the run ended. A run that did not start frees its key, so
// that the caller can send it again.
func (run *Run) Finish(ctx context.Context, answer []byte, err error) {
	run.finish(answer, err)
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		run.release(ctx)
		return
	}
	run.registry.hold(run)
}

func (run *Run) finish(answer []byte, err error) {
	run.answer, run.err = answer, err
	close(run.finished)
}

// release removes the record first and the note here after, so that no second
// send can start in between. Where the platform fails the key stays taken.
func (run *Run) release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if run.registry.store.Delete(ctx, store.PrefixRuns+run.key, run.version) == nil {
		run.registry.forget(run)
		return
	}
	run.registry.hold(run)
}

// hold keeps the finished run for repeated sends, the newest MaxHeld of them.
func (r *Registry) hold(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, run.key)
	for len(r.done) > r.params.MaxHeld {
		delete(r.runs, r.done[0])
		r.done = r.done[1:]
	}
}
