// Package runonce ensures that a non-idempotent request with an idempotency key
// runs at most once, whichever instances and failure domains receive the key and
// at whatever time.
//
// Before such a request may start, an instance creates an object for its key in
// the store. The creation succeeds for exactly one instance, and only that one may
// start the request; safety depends on no clock, lease or membership view. If the
// store cannot be reached, the request is refused with verdict NotRun.
// docs/DESIGN.md compares the alternatives.
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

// Record is the stored object of one key.
type Record struct {
	// Instance is the instance that created the record; only it may start the request.
	Instance string `json:"instance"`
	// Nonce is unique to this creation of the record.
	Nonce string `json:"nonce"`
	// Fingerprint is a hash of the request's content.
	Fingerprint string `json:"fingerprint"`
	// CreatedMS is the wall clock time of creation in Unix milliseconds. It is used
	// only to remove the record after the retention time.
	CreatedMS int64 `json:"created_ms"`
}

// Params configures a Registry.
type Params struct {
	// Retention is how long the record of a key is kept.
	Retention time.Duration
	// MaxKeptAnswers is the maximum number of finished runs whose answers are kept in
	// memory for repeated keys.
	MaxKeptAnswers int
}

// Peers requests answers from other instances.
type Peers interface {
	// Answer returns the answer of the key's run from the instance that recorded
	// the key. The error is a *verdict.Failure.
	Answer(ctx context.Context, instance, key string) ([]byte, error)
}

// Registry tracks the keys and runs of one instance.
type Registry struct {
	params   Params
	instance string
	store    store.Store
	peers    Peers

	mu           sync.Mutex
	runs         map[string]*Run // guarded by mu; by hashed key
	finishedKeys []string        // guarded by mu; hashed keys of finished runs, oldest first
}

// NewRegistry returns an empty Registry for the named instance.
func NewRegistry(p Params, instance string, store store.Store, peers Peers) *Registry {
	return &Registry{params: p, instance: instance, store: store, peers: peers, runs: map[string]*Run{}}
}

// Run is the single run of the request with a key.
type Run struct {
	registry    *Registry
	key         string
	fingerprint string
	finished    chan struct{}
	// version is the version of the stored object; 0 if its creation is not confirmed.
	version store.Revision

	answer []byte // set before finished is closed
	err    error  // set before finished is closed
}

// Key returns the name under which a caller's key is stored. It is a hash over the
// caller and the key, so that callers cannot guess or claim each other's keys and
// keys may contain any bytes.
func Key(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns a hash of a request's content, used to detect that a key is
// reused with different content.
func Fingerprint(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Begin claims the key. It returns a Run if the caller may start the request, the
// answer if the key's run has already finished, or a *verdict.Failure whose verdict
// says whether the key's request may have run. The caller must finish a returned
// Run with Finish.
func (r *Registry) Begin(ctx context.Context, key, fingerprint string) (*Run, []byte, error) {
	run, created := r.register(key, fingerprint)
	if !created {
		return r.replay(ctx, run, fingerprint)
	}
	err := run.create(ctx)
	if err == nil {
		return run, nil, nil
	}
	run.finish(nil, err)
	r.forget(run)
	if errors.Is(err, store.ErrConflict) {
		return r.answerElsewhere(ctx, key, fingerprint)
	}
	return nil, nil, verdict.Refuse(verdict.ReasonPlatform, "the key cannot be recorded: %v", err).WithRetryAfter(time.Second)
}

// register returns the run of the key at this instance and whether it was created
// by this call. A repeated request waits for the run of the first.
func (r *Registry) register(key, fingerprint string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, found := r.runs[key]; found {
		return run, false
	}
	run := &Run{registry: r, key: key, fingerprint: fingerprint, finished: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// forget removes the run from this instance.
func (r *Registry) forget(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[run.key] == run {
		delete(r.runs, run.key)
	}
}

// replay waits for a run at this instance and returns its answer.
func (r *Registry) replay(ctx context.Context, run *Run, fingerprint string) (*Run, []byte, error) {
	if run.fingerprint != fingerprint {
		return nil, nil, verdict.Refuse(verdict.ReasonKeyReused, "the key was used with other content")
	}
	answer, err := run.wait(ctx)
	return nil, answer, err
}

// wait blocks until the run has finished or ctx ends.
func (run *Run) wait(ctx context.Context) ([]byte, error) {
	select {
	case <-run.finished:
		return run.answer, run.err
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "the key's first send is still in progress")
	}
}

// create creates the key's record. store.Write resolves the case that the answer
// to the write is lost.
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

// answerElsewhere returns the answer for a key whose record already existed. It
// asks the instance that created the record.
func (r *Registry) answerElsewhere(ctx context.Context, key, fingerprint string) (*Run, []byte, error) {
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
		f := verdict.FromError(err)
		return nil, nil, verdict.New(max(f.Verdict, verdict.MayHaveRun), verdict.ReasonKeyTaken, "instance %s recorded the key: %s", record.Instance, f.Detail)
	}
	return nil, answer, nil
}

// Answer waits for the run of a key recorded by this instance and returns its
// answer. It serves requests from other instances.
func (r *Registry) Answer(ctx context.Context, key string) ([]byte, error) {
	r.mu.Lock()
	run, found := r.runs[key]
	r.mu.Unlock()
	if !found {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonKeyTaken, "the answer is not held any more")
	}
	return run.wait(ctx)
}

// Finish records the outcome of the run. If the verdict of err is NotRun, the key
// is released so that the caller can retry with it.
func (run *Run) Finish(ctx context.Context, answer []byte, err error) {
	run.finish(answer, err)
	if err != nil && verdict.FromError(err).Verdict == verdict.NotRun {
		run.release(ctx)
		return
	}
	run.registry.keepFinished(run)
}

// finish sets the outcome and wakes all callers of wait.
func (run *Run) finish(answer []byte, err error) {
	run.answer, run.err = answer, err
	close(run.finished)
}

// release deletes the stored record before the entry at this instance, so that a
// repeated request cannot start in between. If the store fails, the key stays taken.
func (run *Run) release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if run.registry.store.Delete(ctx, store.PrefixRuns+run.key, run.version) == nil {
		run.registry.forget(run)
		return
	}
	run.registry.keepFinished(run)
}

// keepFinished keeps the finished run to answer repeated requests. Only the newest
// MaxKeptAnswers finished runs are kept.
func (r *Registry) keepFinished(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishedKeys = append(r.finishedKeys, run.key)
	for len(r.finishedKeys) > r.params.MaxKeptAnswers {
		delete(r.runs, r.finishedKeys[0])
		r.finishedKeys = r.finishedKeys[1:]
	}
}
