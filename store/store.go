// Package store is the client of the platform's object API: versions,
// conditional updates and watches. Everything that must outlive an instance
// is kept there.
//
// A write whose answer was lost is resolved by sending the same conditional
// write again and reading back, never by assuming. Values must therefore be
// unique to their writer and purpose (they carry an epoch, claim or plan id).
package store

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. ErrUnknown alone leaves open whether a write took effect.
var (
	ErrNotFound    = errors.New("store: object not found")
	ErrConflict    = errors.New("store: version conflict")
	ErrUnavailable = errors.New("store: unavailable, request not carried out")
	ErrUnknown     = errors.New("store: answer lost, write may have taken effect")
	// ErrCompacted: the history after a revision is gone; list and watch anew.
	ErrCompacted = errors.New("store: history is gone")
)

// Object is one stored value. Version is the platform's revision of the last
// write to it and never repeats, also not after a deletion.
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

// Store is the object API. Every call, a waiting watch included, is counted by
// the platform against its rates.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Put writes value if the object's version is still version, 0 meaning
	// that it must not exist. It fails with ErrConflict otherwise.
	Put(ctx context.Context, key string, value []byte, version Revision) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, key string, version Revision) error
	// Watch waits until objects under prefix changed after revision and
	// returns their newest state, deleted ones included. It returns an empty
	// snapshot when nothing changed within the platform's waiting time.
	Watch(ctx context.Context, prefix string, revision Revision) (Snapshot, error)
}
