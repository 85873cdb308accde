package holder

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/store"
)

// prefixReplicas has a record of each model for which operators set a number of
// replicas.
const prefixReplicas = "replicas/"

// errLimit: the operators' number of replicas is used up.
var errLimit = errors.New("holder: no further replica is allowed")

// errMoved: the engine's sequence is not the permitted one any more.
var errMoved = errors.New("holder: the engine's sequence has moved")

// maxPermits bounds how often one load is permitted anew because the engine's
// sequence has moved: each time something else was ordered there.
const maxPermits = 60

// load orders an operation's load. A limited model is ordered on the very sequence
// that its permission names, or permitted anew. refused counts the answers that
// another order was under way.
func (w *worker) load(op replicas.Operation) (refused int, err error) {
	limit, limited := w.limitOf(op)
	if !limited {
		return w.order(op, op.Load, false, anySequence)
	}
	for range maxPermits {
		sequence, err := w.permit(op, limit)
		if err == nil {
			refused, err = w.order(op, op.Load, false, sequence)
		}
		if !errors.Is(err, errMoved) {
			return refused, err
		}
	}
	return refused, errMoved
}

func (w *worker) limitOf(op replicas.Operation) (limit limits.Limit, limited bool) {
	if op.Load.Adapter != "" {
		return limit, false
	}
	return w.h.limits.Limit(op.Load.Model)
}

// permit writes into the store that an engine may get a limited model by a load
// that is decided on the returned sequence.
func (w *worker) permit(op replicas.Operation, limit limits.Limit) (sequence int64, err error) {
	model := op.Load.Model
	ctx, cancel := context.WithTimeout(w.ctx, w.h.params.Lease.Transit)
	defer cancel()
	key := prefixReplicas + model
	record, revision, err := store.Read[limits.Record](ctx, w.h.store, key)
	if err != nil {
		return 0, err
	}
	record.Model = model
	next, sequence, ok := w.grant(op, limit, record)
	w.h.log.WithFields(logrus.Fields{"engine": w.engine, "model": model, "replicas": limit.Replicas, "recorded": len(record.Engines), "granted": ok}).Info("replica limit")
	if !ok {
		return 0, errors.Wrapf(errLimit, "%s: %d, in use or possible at %d engines", model, limit.Replicas, len(record.Engines))
	}
	if next.Equal(record) {
		return sequence, nil
	}
	_, err = store.WriteJSON(ctx, w.h.store, key, next, revision)
	return sequence, err
}

// grant decides by what the account says now.
func (w *worker) grant(op replicas.Operation, limit limits.Limit, record limits.Record) (next limits.Record, sequence int64, ok bool) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	if !w.h.fleet.Current(op) {
		return record, 0, false
	}
	fleet := w.h.fleet
	sequence = fleet.Engine(w.engine).Sequence
	next, ok = record.Grant(limit, w.engine, sequence, fleet.Holders(op.Load.Model, w.engine), func(id string) limits.Engine {
		return fleet.Known(id, op.Load.Model)
	})
	return next, sequence, ok
}
