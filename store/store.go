// Package store is the client of the object API of the metadata store: versions, conditional
// updates and watches. All state that must outlive an instance is kept there.
//
// A write whose response was lost is resolved by sending the same conditional write again and
// reading the object back; its outcome is never assumed. Values must therefore be unique to their
// writer and purpose, by an epoch, claim or plan id that they contain.
package store

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. Only ErrUnknown leaves open whether a write took effect.
var (
	ErrNotFound    = errors.New("store: object not found")
	ErrConflict    = errors.New("store: version conflict")
	ErrUnavailable = errors.New("store: unavailable, request not carried out")
	// ErrRefused means that the store does not permit or does not understand the call. The same call
	// will be refused again.
	ErrRefused = errors.New("store: call refused for good")
	ErrUnknown = errors.New("store: answer lost, write may have taken effect")
	// ErrCompacted means that the history after a revision is no longer available; the caller must
	// list and watch anew.
	ErrCompacted = errors.New("store: history is gone")
)

// Object is one stored value. Version is the store's revision of the last write to it. A version is
// never reused, not even after a deletion.
type Object struct {
	Key     string   `json:"key"`
	Version Revision `json:"version"`
	Value   []byte   `json:"value"`
	Deleted bool     `json:"deleted,omitempty"`
}

// Snapshot is a set of objects read at one revision.
type Snapshot struct {
	Revision Revision `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Add appends obj if its key starts with prefix.
func (s *Snapshot) Add(obj Object, prefix string) {
	if strings.HasPrefix(obj.Key, prefix) {
		s.Objects = append(s.Objects, obj)
	}
}

// Store is the object API. Every call, including a waiting watch, counts against the store's rate
// limits.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Put writes value if the object's version is still version; 0 means that the object must not
	// exist. Otherwise it fails with ErrConflict.
	Put(ctx context.Context, key string, value []byte, version Revision) (Object, error)
	// Delete removes the object if its version is still version. Otherwise it fails with
	// ErrConflict.
	Delete(ctx context.Context, key string, version Revision) error
	// Watch waits until objects under prefix have changed after revision and returns their latest
	// states, including deletions. It returns an empty snapshot if nothing changed within the
	// store's waiting time.
	Watch(ctx context.Context, prefix string, revision Revision) (Snapshot, error)
}
