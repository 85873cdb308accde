package store

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
)

// resolveAttempts bounds how often a write whose response was lost is sent again before Write
// returns ErrUnknown.
const resolveAttempts = 4

// resolveDelay is the delay before the first of those attempts; it doubles with each further one.
const resolveDelay = 20 * time.Millisecond

// Write puts value conditionally and resolves a lost response: it sends the same write again, which
// is safe since at most one of them can match the version. On a conflict it reads the object back
// and compares it with value. It returns ErrUnknown if the outcome could not be determined.
func Write(ctx context.Context, s Store, key string, value []byte, version Revision) (Object, error) {
	obj, err := s.Put(ctx, key, value, version)
	unknown := errors.Is(err, ErrUnknown)
	delay := resolveDelay
	for i := 0; unknown && i < resolveAttempts; i++ {
		if !pause.For(ctx, delay) {
			return Object{}, ErrUnknown
		}
		delay *= 2
		obj, err = s.Put(ctx, key, value, version)
		if err == nil {
			return obj, nil
		}
		if errors.Is(err, ErrConflict) {
			return readBack(ctx, s, key, value)
		}
	}
	if unknown && err != nil {
		return Object{}, ErrUnknown
	}
	return obj, err
}

func readBack(ctx context.Context, s Store, key string, value []byte) (Object, error) {
	obj, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Object{}, ErrConflict
	}
	if err != nil {
		return Object{}, ErrUnknown
	}
	if !sameJSON(obj.Value, value) {
		return Object{}, ErrConflict
	}
	return obj, nil
}

// sameJSON compares the decoded values, since the store may write the fields of a value in another
// order.
func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return bytes.Equal(a, b)
	}
	return reflect.DeepEqual(x, y)
}

// Read decodes the JSON value under key and returns it with its version, or a version of 0 if there
// is none. It always decodes into a new value: decoding into a used one would keep fields that the
// new value lacks.
func Read[T any](ctx context.Context, s Store, key string) (T, Revision, error) {
	var v T
	obj, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	if err := json.Unmarshal(obj.Value, &v); err != nil {
		return v, 0, errors.Wrapf(err, "store: value of %s", key)
	}
	return v, obj.Version, nil
}

// WriteJSON encodes v as JSON, calls Write and returns the new version.
func WriteJSON(ctx context.Context, s Store, key string, v any, version Revision) (Revision, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, errors.Wrapf(err, "store: value of %s", key)
	}
	obj, err := Write(ctx, s, key, value, version)
	return obj.Version, err
}
