package holder

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/store"
)

// Current reads the lease's record from the store; the zero Record if there is
// none. A successor counts from when it first knew of the record's revision.
func (h *Holder) Current(ctx context.Context) (lease.Record, store.Revision, error) {
	record, revision, err := store.Read[lease.Record](ctx, h.store, KeyLease)
	if err == nil {
		h.EraBegan(revision.Era())
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lease.Observe(revision, clock.Exact())
	}
	return record, revision, err
}

// Heard notes what another instance has told of the lease.
func (h *Holder) Heard(s lease.Standing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.ObserveRemote(s, clock.Exact())
}

// Standing returns what this instance can tell others of the lease.
func (h *Holder) Standing() lease.Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.RenewalAge(clock.Now())
}

// TakeOver writes this instance into the record in place of current, which was
// read at revision. It fails with store.ErrConflict when another was faster.
func (h *Holder) TakeOver(ctx context.Context, current lease.Record, revision store.Revision, cause string) error {
	h.mu.Lock()
	era := max(0, h.era, revision.Era())
	current = h.previous(current, era)
	candidate := h.lease.Candidate(current, era, h.params.Address)
	h.mu.Unlock()
	sent := clock.Now()
	written, err := store.WriteJSON(ctx, h.store, KeyLease, candidate, revision)
	if err == nil && written.Era() != era {
		err = store.ErrConflict // the record is one of an era before to all others
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.lease.Acquired(current, revision, candidate, written, sent, clock.Now())
	from := h.lease.OrderFrom("")
	h.fleet = replicas.NewFleet(h.params.Fleet)
	h.fleet.SetLimits(h.limits)
	h.fleet.LearnRemoteAtOnce(h.remoteAtOnce)
	h.account, h.views = newAccount(), views{}
	first, left := current.Fence == 0 && !current.CameBack(era), current.Left
	if current.CameBack(era) {
		left = nil
	}
	h.lender = quota.NewLender(h.params.Quota, first, left, clock.Now())
	h.serverLender = quota.NewLender(h.params.ServerQuota, first, nil, clock.Now())
	h.failingSince = time.Time{}
	for _, w := range h.workers {
		w.stop()
	}
	h.workers = map[string]*worker{}
	h.refreshServers()
	h.mu.Unlock()
	h.counts.takeOvers.Inc()
	h.log.WithFields(logrus.Fields{
		"fence": candidate.Fence, "before": current.Holder, "cause": cause, "orders_in_ms": clock.Until(from).Milliseconds(),
	}).Info("lease taken")
	return nil
}

// Release gives the lease up, so that a successor need not wait for its
// validity. No order is sent after it has begun.
func (h *Holder) Release(ctx context.Context) {
	record, revision, ok := h.stopOrders()
	if !ok {
		return
	}
	_, err := store.WriteJSON(ctx, h.store, KeyLease, record, revision)
	if errors.Is(err, store.ErrConflict) {
		if revision, err = h.adopt(ctx); err == nil {
			_, err = store.WriteJSON(ctx, h.store, KeyLease, record, revision)
		}
	}
	h.log.WithFields(logrus.Fields{"fence": record.Fence, "error": err}).Info("lease released")
	if err != nil { // instances that ask meanwhile hear of it from this one
		h.mu.Lock()
		defer h.mu.Unlock()
		h.gaveUp = record
	}
}

// stopOrders gives up the lease and waits for the orders that were checked
// before to be answered. ok is false if there is nothing to hand over.
func (h *Holder) stopOrders() (record lease.Record, revision store.Revision, ok bool) {
	h.mu.Lock()
	if !h.lease.Held() {
		h.mu.Unlock()
		return record, revision, false
	}
	lent := h.lease.MayLend(clock.Exact())
	record, revision, ok = h.lease.Release(clock.Now())
	if lent {
		record.Left = h.lender.Left(clock.Now())
	}
	workers := slices.Collect(maps.Values(h.workers))
	h.mu.Unlock()
	var last time.Time
	for _, w := range workers {
		if t := w.lastAnswered(); t.After(last) {
			last = t
		}
	}
	h.log.WithFields(logrus.Fields{"fence": record.Fence, "last_order_ms": clock.Since(last).Milliseconds()}).Info("orders stopped")
	return record, revision, ok
}

// failing returns the number of the episode in which this instance does not
// reach the store, 0 while it does.
func (h *Holder) failing() uint64 {
	first := h.outage()
	h.mu.Lock()
	defer h.mu.Unlock()
	if first.IsZero() || !h.failingSince.IsZero() && h.failingSince.Before(first) {
		first = h.failingSince
	}
	if first.IsZero() {
		h.inEpisode = false
		return 0
	}
	if !h.inEpisode {
		h.inEpisode = true
		h.episode++
	}
	return h.episode
}

// proveOrGiveUp renews the lease once more and gives it up if that fails: the
// store has answered another instance after it had stopped answering this one.
// The other can then take over without waiting for the validity to end. While
// the store answers nobody the lease stays, since nobody could take it over.
func (h *Holder) proveOrGiveUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proving || !h.lease.Held() {
		return
	}
	h.proving = true
	go h.prove()
}

func (h *Holder) prove() {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.proving = false
	}()
	ctx, cancel := context.WithTimeout(context.Background(), h.params.Lease.Transit)
	defer cancel()
	h.renewing.Lock()
	err := h.confirm(ctx)
	h.renewing.Unlock()
	if err == nil || errors.Is(err, ErrNotHolder) {
		return
	}
	record, _, ok := h.stopOrders()
	h.log.WithFields(logrus.Fields{"fence": record.Fence, "handed_over": ok}).Warn("lease given up: this instance does not reach the store, another does")
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gaveUp = record
}

// GaveUp returns the released record under which this instance has promised to
// order nothing more, the zero Record if there is none.
func (h *Holder) GaveUp() lease.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gaveUp
}

// SuccessionTime is how long after the last renewal of a lost holder its successor's orders
// begin.
func (h *Holder) SuccessionTime() time.Duration {
	return h.params.Lease.Validity + h.params.Lease.Settle
}

// Deposed notes that another instance has a higher fencing token.
func (h *Holder) Deposed(fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	record, _ := h.lease.Record()
	if h.lease.Held() && fence > record.Fence {
		h.lease.Lost()
		h.log.WithFields(logrus.Fields{"fence": record.Fence, "newer": fence}).Info("lease lost to another instance")
	}
}

// fence returns the fencing token for an order to an engine to be sent now. If a
// renewal is due it goes on beside the order while the lease is good without it: a
// store that does not answer must not keep orders back that are still allowed. That,
// and not blaming engines for orders that could not be sent, gained .017 +- .007 of
// worth (24 pairs of days on the users' platform).
func (h *Holder) fence(ctx context.Context, engine string) (int64, error) {
	if token, ok := h.token(engine); ok {
		if h.renewalDue() {
			h.renewBeside()
		}
		return token, nil
	}
	if err := h.renewWithin(ctx); err != nil {
		return 0, err
	}
	if token, ok := h.token(engine); ok {
		return token, nil
	}
	return 0, ErrNotHolder
}

// token returns the fencing token if an order may be sent to the engine now.
func (h *Holder) token(engine string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	token, ok := h.lease.Fence(engine, now)
	if ok {
		h.lease.RecordOrder(engine, now)
	}
	return token, ok
}

func (h *Holder) renewalDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.RenewalDue(clock.Now())
}

// renewBeside renews the lease in the background unless that is under way.
func (h *Holder) renewBeside() {
	if !h.renewing.TryLock() {
		return
	}
	h.mu.Lock()
	ctx := h.ctx
	h.mu.Unlock()
	go func() {
		defer h.renewing.Unlock()
		ctx, cancel := context.WithTimeout(ctx, h.params.Lease.Transit)
		defer cancel()
		_ = h.renewLocked(ctx) // noted and logged there
	}()
}

// renewWithin renews the lease if that is due, and waits for it no longer than an
// order may be on its way.
func (h *Holder) renewWithin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.params.Lease.Transit)
	defer cancel()
	return h.renew(ctx)
}

// suspendInOutage needs mu. It returns for how long no order could be sent because the
// store does not confirm the lease, zero while orders can be sent, and has the fleet
// plan nothing meanwhile.
func (h *Holder) suspendInOutage(now time.Time) (outage time.Duration) {
	if !h.failingSince.IsZero() && !h.lease.Valid(now) {
		outage = now.Sub(h.failingSince)
	}
	h.fleet.Suspend(outage > 0)
	return outage
}

// renew has the store confirm the record if that is due. A failure matters only
// once the last confirmation is too old for an order.
func (h *Holder) renew(ctx context.Context) error {
	h.renewing.Lock()
	defer h.renewing.Unlock()
	return h.renewLocked(ctx)
}

// renewLocked needs renewing.
func (h *Holder) renewLocked(ctx context.Context) error {
	h.mu.Lock()
	due, held := h.lease.RenewalDue(clock.Now()), h.lease.Held()
	h.mu.Unlock()
	if !held {
		return ErrNotHolder
	}
	if !due {
		return nil
	}
	if err := h.confirm(ctx); errors.Is(err, ErrNotHolder) {
		return err
	}
	return nil
}

// confirm needs renewing. It renews the lease and fails with ErrNotHolder if the record is
// another's. A renewal whose answer was lost, or that the store carried out late, has made
// a revision that this instance does not know: the record is read then and written again.
func (h *Holder) confirm(ctx context.Context) error {
	sent, err := h.writeRenewal(ctx)
	if errors.Is(err, store.ErrConflict) {
		if _, err = h.adopt(ctx); err == nil {
			sent, err = h.writeRenewal(ctx)
		}
	}
	return h.noteRenewal(sent, err)
}

// writeRenewal needs renewing. It writes the renewed record, and returns when that was sent.
func (h *Holder) writeRenewal(ctx context.Context) (sent time.Time, err error) {
	h.mu.Lock()
	sent = clock.Now()
	record, revision := h.lease.Renewal(sent)
	h.mu.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		return sent, errors.Wrap(err, "holder: lease record")
	}
	obj, err := h.store.Put(ctx, KeyLease, value, revision)
	if err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lease.Renewed(record, obj.Version, sent)
	}
	return sent, err
}

// adopt reads the record and takes its revision over. It fails with store.ErrConflict if
// the record is another's.
func (h *Holder) adopt(ctx context.Context) (revision store.Revision, err error) {
	record, revision, err := h.Current(ctx)
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Adopt(record, revision) {
		return 0, store.ErrConflict
	}
	return revision, nil
}

// noteRenewal logs how a renewal that was sent at a time ended, and returns that.
func (h *Holder) noteRenewal(sent time.Time, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	record, _ := h.lease.Record()
	switch {
	case err == nil:
		if !h.failingSince.IsZero() {
			h.log.WithFields(logrus.Fields{"fence": record.Fence, "failed_ms": clock.Since(h.failingSince).Milliseconds()}).Info("lease renewed again")
		}
		h.failingSince = time.Time{}
		return nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		h.lease.Lost()
		h.log.WithField("fence", record.Fence).Info("lease lost: the record is another's")
		return ErrNotHolder
	}
	if h.failingSince.IsZero() {
		h.failingSince = sent
		h.log.WithFields(logrus.Fields{"fence": record.Fence, "error": err}).Info("lease not renewed")
	}
	return err
}
