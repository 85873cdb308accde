package holder

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/store"
)

// prefixReplicas is the prefix of the keys of the replica records, one for each model for which operators have set a
// number of replicas.
const prefixReplicas = "replicas/"

// errLimit is returned when a load would exceed the number of replicas that operators allow.
var errLimit = errors.New("holder: no further replica is allowed")

// errSequenceChanged is returned when the engine's sequence number is no longer the one that was recorded.
var errSequenceChanged = errors.New("holder: the engine's sequence has changed")

// maxPermitAttempts bounds how often one load is recorded again because the engine's sequence number has changed.
// Each time, another order was sent to the engine in between.
const maxPermitAttempts = 60

// load orders an operation's load. The order for a model with a replica limit names exactly the sequence number that
// was recorded for it; if that number is outdated, the load is recorded again. refused is the number of responses
// that another order was in progress. watch follows the requests of the unload before, nil if there was none.
func (w *worker) load(op replicas.Operation, watch *runWatch) (refused int, err error) {
	limit, limited := w.limitOf(op)
	if !limited {
		return w.orderWithRetries(op, op.Load, false, anySequence, watch)
	}
	for range maxPermitAttempts {
		sequence, err := w.recordPermit(op, limit)
		if err == nil {
			refused, err = w.orderWithRetries(op, op.Load, false, sequence, watch)
		}
		if !errors.Is(err, errSequenceChanged) {
			return refused, err
		}
	}
	return refused, errSequenceChanged
}

func (w *worker) limitOf(op replicas.Operation) (limit limits.Limit, limited bool) {
	if op.Load.Adapter != "" {
		return limit, false
	}
	return w.h.replicaLimits.Limit(op.Load.Model)
}

// recordPermit writes into the store that the engine may load a model with a replica limit, by an order that names
// the returned sequence number.
func (w *worker) recordPermit(op replicas.Operation, limit limits.Limit) (sequence int64, err error) {
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
	w.h.log.WithFields(logrus.Fields{"engine": w.engine, "model": model, "replicas": limit.Replicas, "recorded": len(record.Engines), "granted": ok}).Info("replica limit checked")
	if !ok {
		return 0, errors.Wrapf(errLimit, "%s: limit %d, replicas exist or may exist at %d engines", model, limit.Replicas, len(record.Engines))
	}
	if next.Equal(record) {
		return sequence, nil
	}
	_, err = store.WriteJSON(ctx, w.h.store, key, next, revision)
	return sequence, err
}

// grant decides by the current state of the fleet whether a load is within the limit.
func (w *worker) grant(op replicas.Operation, limit limits.Limit, record limits.Record) (next limits.Record, sequence int64, ok bool) {
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	if !w.h.fleet.Current(op) {
		return record, 0, false
	}
	fleet := w.h.fleet
	sequence = fleet.Engine(w.engine).Sequence
	next, ok = record.Grant(limit, w.engine, sequence, fleet.Holders(op.Load.Model, w.engine), func(id string) limits.Engine {
		return fleet.LimitState(id, op.Load.Model)
	})
	return next, sequence, ok
}
