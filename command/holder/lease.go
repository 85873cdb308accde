package holder

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/store"
)

// Current reads the lease record from the store. It returns the zero Record if there is none. It also records that
// the revision was observed, since a successor counts its waiting time from the first observation.
func (h *Holder) Current(ctx context.Context) (lease.Record, store.Revision, error) {
	record, revision, err := store.Read[lease.Record](ctx, h.store, KeyLease)
	if err == nil {
		h.ObserveEra(revision.Era())
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lease.Observe(revision, clock.Exact())
	}
	return record, revision, err
}

// ObserveRemote records what another instance reported about the lease.
func (h *Holder) ObserveRemote(a lease.RenewalAge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease.ObserveRemote(a, clock.Exact())
}

// RenewalAge returns what this instance reports about the lease to others.
func (h *Holder) RenewalAge() lease.RenewalAge {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.RenewalAge(clock.Now())
}

// TakeOver replaces current, the record read at revision, by one that names this instance. It fails with
// store.ErrConflict if the record has changed since.
func (h *Holder) TakeOver(ctx context.Context, current lease.Record, revision store.Revision, cause string) error {
	h.mu.Lock()
	if h.releasing {
		h.mu.Unlock()
		return store.ErrConflict // the record is about to change
	}
	era := max(0, h.era, revision.Era())
	current = h.recordToReplace(current, era)
	candidate := h.lease.Candidate(current, revision, era, h.params.Address)
	h.mu.Unlock()
	sent := clock.Now()
	written, err := store.WriteJSON(ctx, h.store, KeyLease, candidate, revision)
	if err == nil && written.Era() != era {
		err = store.ErrConflict // all other instances treat the record as one of an earlier era
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.lease.Acquired(current, revision, candidate, written, sent, clock.Now())
	orderFrom := h.lease.OrderFrom("")
	h.fleet = replicas.NewFleet(h.params.Fleet)
	h.fleet.SetLimits(h.replicaLimits)
	h.fleet.SetRemoteConcurrency(h.remoteConcurrency)
	h.reports, h.views = newInstanceReports(), views{}
	h.refused = refusedRequests{list: waitlist.NewList()}
	firstHolder, remaining := current.Fence == 0 && !current.RestoredFromBackup(era), current.Left
	if current.RestoredFromBackup(era) {
		remaining = nil
	}
	h.firstHolder = firstHolder
	if !firstHolder {
		h.fleet.SetInheritedOrders(h.inheritedOrders(orderFrom))
	}
	h.lender = quota.NewLender(h.params.Quota, firstHolder, remaining, clock.Now())
	h.serverLender = quota.NewLender(h.params.ServerQuota, firstHolder, nil, clock.Now())
	h.failingSince = time.Time{}
	for _, w := range h.workers {
		w.stop()
	}
	h.workers = map[string]*worker{}
	h.refreshServers()
	awaiting := h.fleet.CountAwaitingInherited(orderFrom)
	h.mu.Unlock()
	h.metrics.takeOvers.Inc()
	h.log.WithFields(logrus.Fields{
		"fence": candidate.Fence, "before": current.Holder, "cause": cause, "orders_in_ms": clock.Until(orderFrom).Milliseconds(), "await_late_orders": awaiting,
	}).Info("lease taken")
	return nil
}

// Release gives up the lease, so that a successor need not wait for its validity to end. No order is sent after
// Release has started, and this instance does not take the lease again before Release has ended.
func (h *Holder) Release(ctx context.Context) {
	h.setReleasing(true)
	defer h.setReleasing(false)
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
	if err != nil { // instances that ask this one meanwhile learn of the release from it
		h.mu.Lock()
		defer h.mu.Unlock()
		h.surrendered = record
	}
}

// setReleasing records whether the lease is being released.
func (h *Holder) setReleasing(releasing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releasing = releasing
}

// stopOrders gives up the lease and waits for the responses to orders that passed the check before. ok is false if
// there is nothing to hand over.
func (h *Holder) stopOrders() (record lease.Record, revision store.Revision, ok bool) {
	h.mu.Lock()
	if !h.lease.Held() {
		h.mu.Unlock()
		return record, revision, false
	}
	mayLend := h.lease.MayLend(clock.Exact())
	record, revision, ok = h.lease.Release(clock.Now())
	if mayLend {
		record.Left = h.lender.Reserves(clock.Now())
	}
	workers := slices.Collect(maps.Values(h.workers))
	h.mu.Unlock()
	var last time.Time
	for _, w := range workers {
		if t := w.waitForOrders(); t.After(last) {
			last = t
		}
	}
	h.log.WithFields(logrus.Fields{"fence": record.Fence, "last_order_ms": clock.Since(last).Milliseconds()}).Info("orders stopped")
	return record, revision, ok
}

// currentOutage returns the number of the outage in which this instance cannot reach the store, 0 while it can.
func (h *Holder) currentOutage() uint64 {
	since := h.outageStart()
	h.mu.Lock()
	defer h.mu.Unlock()
	if since.IsZero() || !h.failingSince.IsZero() && h.failingSince.Before(since) {
		since = h.failingSince
	}
	if since.IsZero() {
		h.inOutage = false
		return 0
	}
	if !h.inOutage {
		h.inOutage = true
		h.outageID++
	}
	return h.outageID
}

// startFinalRenewal renews the lease once more in the background and gives it up if that fails. It is called when
// the store has answered another instance after it stopped answering this one. The other instance can then take over
// without waiting for the validity to end. While the store answers nobody, the lease is kept, since nobody could
// take it over.
func (h *Holder) startFinalRenewal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.finalRenewalRunning || !h.lease.Held() {
		return
	}
	h.finalRenewalRunning = true
	go h.finalRenewal()
}

func (h *Holder) finalRenewal() {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.finalRenewalRunning = false
	}()
	ctx, cancel := context.WithTimeout(context.Background(), h.params.Lease.Transit)
	defer cancel()
	h.renewMu.Lock()
	err := h.forceRenewal(ctx)
	h.renewMu.Unlock()
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
	h.surrendered = record
}

// SurrenderedRecord returns the released record under which this instance has promised to send no more orders. It
// returns the zero Record if there is none.
func (h *Holder) SurrenderedRecord() lease.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.surrendered
}

// TakeOverDelay returns the time from the last renewal of a lost holder to the first order of its successor.
func (h *Holder) TakeOverDelay() time.Duration {
	return h.params.Lease.Validity + h.params.Lease.Settle
}

// ObserveFence records that another instance has the given fencing token. The lease is lost if that token is higher
// than this instance's.
func (h *Holder) ObserveFence(fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	record, _ := h.lease.Record()
	if h.lease.Held() && fence > record.Fence {
		h.lease.Lost()
		h.log.WithFields(logrus.Fields{"fence": record.Fence, "newer": fence}).Info("lease lost to another instance")
	}
}

// orderFence returns the fencing token for an order that is sent to an engine now. If a renewal is due while the
// lease is still valid, the renewal runs in the background: a store that does not answer must not delay orders that
// are still allowed.
func (h *Holder) orderFence(ctx context.Context, engine string) (int64, error) {
	if token, ok := h.tryFence(engine); ok {
		if h.renewalDue() {
			h.renewInBackground()
		}
		return token, nil
	}
	if err := h.renewWithTimeout(ctx); err != nil {
		return 0, err
	}
	if token, ok := h.tryFence(engine); ok {
		return token, nil
	}
	return 0, ErrNotHolder
}

// tryFence returns the fencing token if an order may be sent to the engine now, and records the order.
func (h *Holder) tryFence(engine string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Exact()
	token, ok := h.lease.Fence(engine, now)
	if ok {
		h.lease.RecordOrder(engine, now)
	}
	return token, ok
}
