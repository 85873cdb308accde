package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// prefixQuarantine is the store's prefix of the entries of suspect and quarantined requests, by
// fingerprint.
const prefixQuarantine = "quarantine/"

// heldRequest is the entry of a suspect or quarantined request.
type heldRequest struct {
	Subject string                   `json:"subject"`
	Parts   []uint64                 `json:"parts,omitempty"`
	Crashes []quarantine.Incarnation `json:"crashes"`
	Cleared []quarantine.Incarnation `json:"cleared"`
	// Isolated is empty in entries of earlier builds.
	Isolated []quarantine.Incarnation `json:"isolated,omitempty"`
	Alone    []quarantine.Incarnation `json:"alone,omitempty"`
	Pending  []heldEnd                `json:"pending,omitempty"`
	Begun    []string                 `json:"begun,omitempty"`
	GraceMS  int64                    `json:"graceMs"`
	// ChangedMS is the time of the last change, in milliseconds since the Unix epoch. It only
	// determines for how many minutes the entry counts.
	ChangedMS int64 `json:"changedMs"`
}

// heldEnd is a pending end in a heldRequest.
type heldEnd struct {
	Incarnation quarantine.Incarnation `json:"incarnation"`
	// Companions are the request that ran alone and the parts of its prompt.
	Companions []serving.Fingerprint `json:"companions,omitempty"`
	// EndedMS is when the server ended, in milliseconds since the Unix epoch. It determines when the
	// pending end is decided; the request does not run before that.
	EndedMS int64 `json:"endedMs"`
	// FromNewInstance is as in quarantine.PendingCrash; false in entries of earlier builds.
	FromNewInstance bool `json:"fromNewInstance,omitempty"`
}

func encodeHeld(r quarantine.Record, now time.Time) heldRequest {
	h := heldRequest{Subject: r.Subject, Parts: r.Parts, Crashes: r.Crashes, Cleared: r.Cleared, Isolated: r.Isolated, Alone: r.Alone, Begun: r.Begun, GraceMS: r.Grace.Milliseconds(), ChangedMS: now.Add(-r.Age).UnixMilli()}
	for _, end := range r.Pending {
		h.Pending = append(h.Pending, heldEnd{Incarnation: end.Incarnation, Companions: end.Companions, EndedMS: now.Add(-end.Age).UnixMilli(), FromNewInstance: end.FromNewInstance})
	}
	return h
}

// matches reports whether the entry agrees with a record of the ledger.
func (h heldRequest) matches(r quarantine.Record) bool {
	return slices.Equal(h.Crashes, r.Crashes) && slices.Equal(h.Isolated, r.Isolated) && slices.Equal(h.Alone, r.Alone) && slices.Equal(h.Begun, r.Begun) &&
		slices.EqualFunc(h.Pending, r.Pending, func(a heldEnd, b quarantine.PendingCrash) bool { return a.Incarnation == b.Incarnation })
}

func (h heldRequest) decode(fp serving.Fingerprint, now time.Time) quarantine.Record {
	r := quarantine.Record{
		Fingerprint: fp, Subject: h.Subject, Parts: h.Parts, Crashes: h.Crashes, Cleared: h.Cleared, Isolated: h.Isolated, Alone: h.Alone, Begun: h.Begun, Grace: time.Duration(h.GraceMS) * time.Millisecond,
		Age: max(0, now.Sub(time.UnixMilli(h.ChangedMS))),
	}
	for _, end := range h.Pending {
		r.Pending = append(r.Pending, quarantine.PendingCrash{Incarnation: end.Incarnation, Companions: end.Companions, Age: max(0, now.Sub(time.UnixMilli(end.EndedMS))), FromNewInstance: end.FromNewInstance})
	}
	return r
}

// load merges the entries in the store, and reports whether they could be read.
func (q *quarantineManager) load(ctx context.Context) bool {
	snap, err := q.store.List(ctx, prefixQuarantine)
	if err != nil {
		return false
	}
	now := time.Now()
	var records []quarantine.Record
	for _, obj := range snap.Objects {
		var h heldRequest
		if err := json.Unmarshal(obj.Value, &h); err != nil {
			q.log.WithFields(logrus.Fields{"key": obj.Key, "error": err}).Error("entry of a held request cannot be decoded")
			continue
		}
		records = append(records, h.decode(serving.Fingerprint(obj.Key[len(prefixQuarantine):]), now))
	}
	q.recordEscalations(q.ledger.Merge(records, clock.Now()), "store")
	q.loaded.Store(true)
	return true
}

// write updates the entries in the store that are out of date.
func (q *quarantineManager) write(ctx context.Context) {
	q.mu.Lock()
	pending := slices.SortedFunc(maps.Keys(q.unwritten), func(a, b serving.Fingerprint) int {
		if aPart := quarantine.IsPart(a); aPart != quarantine.IsPart(b) {
			return map[bool]int{true: -1, false: 1}[aPart] // a part concerns many requests
		}
		return cmp.Compare(a, b)
	})
	q.mu.Unlock()
	for _, fp := range pending {
		err := q.writeOne(ctx, fp)
		if errors.Is(err, store.ErrConflict) {
			continue // another instance has written the entry; the next attempt reads that first
		}
		if err != nil {
			return // the store is unavailable; all are retried
		}
		q.mu.Lock()
		delete(q.unwritten, fp)
		q.mu.Unlock()
	}
}

// writeOne merges a request's entry in the store into the ledger and writes the result, or deletes the
// entry if nothing counts against the request any more.
func (q *quarantineManager) writeOne(ctx context.Context, fp serving.Fingerprint) error {
	key := prefixQuarantine + string(fp)
	now := time.Now()
	stored, version, err := store.Read[heldRequest](ctx, q.store, key)
	if err != nil {
		return err
	}
	if version != 0 {
		q.recordEscalations(q.ledger.Merge([]quarantine.Record{stored.decode(fp, now)}, clock.Now()), "store")
	}
	r, known := q.ledger.Record(fp, clock.Now())
	if !known || r.State() == quarantine.Clear && len(r.Begun) == 0 {
		if version == 0 {
			return nil
		}
		return q.store.Delete(ctx, key, version)
	}
	if version != 0 && stored.matches(r) {
		return nil
	}
	_, err = store.WriteJSON(ctx, q.store, key, encodeHeld(r, now), version)
	return err
}
