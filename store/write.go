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

// resolveAttempts bounds how often a write with a lost answer is sent again
// before the caller is told that it is unknown.
const resolveAttempts = 4

// resolvePause is the first pause between those; it doubles each time.
const resolvePause = 20 * time.Millisecond

// Write puts value conditionally and resolves a lost answer: the same write is
// sent again, which is harmless since only one of them can meet the version,
// and a conflict is read back and compared with value. It returns ErrUnknown
// only when the platform stayed silent.
func Write(ctx context.Context, s Store, key string, value []byte, version Revision) (Object, error) {
	obj, err := s.Put(ctx, key, value, version)
	unsure := errors.Is(err, ErrUnknown)
	wait := resolvePause
	for i := 0; unsure && i < resolveAttempts; i++ {
		if !pause.For(ctx, wait) {
			return Object{}, ErrUnknown
		}
		wait *= 2
		obj, err = s.Put(ctx, key, value, version)
		if err == nil {
			return obj, nil
		}
		if errors.Is(err, ErrConflict) {
			return readBack(ctx, s, key, value)
		}
	}
	if unsure && err != nil {
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

// sameJSON compares values by what they say: the platform may write their
// fields in another order.
func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return bytes.Equal(a, b)
	}
	return reflect.DeepEqual(x, y)
}

// Read decodes the JSON value under key and returns it with its version, 0 when
// there is none. The value is always a fresh one: decoding into a value that
// was used before would keep what the new one leaves out.
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

// WriteJSON encodes v and calls Write.
func WriteJSON(ctx context.Context, s Store, key string, v any, version Revision) (Revision, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, errors.Wrapf(err, "store: value of %s", key)
	}
	obj, err := Write(ctx, s, key, value, version)
	return obj.Version, err
}
