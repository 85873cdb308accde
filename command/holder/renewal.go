package holder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/store"
)

// Renewal of the lease, by which the holder keeps the right to order engines.

func (h *Holder) renewalDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.RenewalDue(clock.Now())
}

// renewInBackground starts a renewal of the lease unless one is in progress.
func (h *Holder) renewInBackground() {
	if !h.renewMu.TryLock() {
		return
	}
	h.mu.Lock()
	ctx := h.ctx
	h.mu.Unlock()
	go func() {
		defer h.renewMu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, h.params.Lease.Transit)
		defer cancel()
		_ = h.renewLocked(ctx) // recorded and logged by the callee
	}()
}

// renewWithTimeout renews the lease if that is due, and waits for at most the transit time of an order.
func (h *Holder) renewWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.params.Lease.Transit)
	defer cancel()
	return h.renew(ctx)
}

// suspendInOutage suspends the planning of the fleet while no order can be sent because the store does not confirm
// the lease. It returns how long that has lasted, zero while orders can be sent. h.mu must be held.
func (h *Holder) suspendInOutage(now time.Time) (outage time.Duration) {
	if !h.failingSince.IsZero() && !h.lease.Valid(now) {
		outage = now.Sub(h.failingSince)
	}
	h.fleet.Suspend(outage > 0)
	return outage
}

// renew renews the lease if that is due. A failure matters only once the last confirmed renewal is too old for an
// order.
func (h *Holder) renew(ctx context.Context) error {
	h.renewMu.Lock()
	defer h.renewMu.Unlock()
	return h.renewLocked(ctx)
}

// renewLocked is renew for callers that hold h.renewMu.
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
	if err := h.forceRenewal(ctx); errors.Is(err, ErrNotHolder) {
		return err
	}
	return nil
}

// forceRenewal renews the lease even if that is not due. It fails with ErrNotHolder if the record belongs to another
// holder. A renewal whose response was lost, or that the store applied late, has created a revision that this
// instance does not know; the record is then read and written again. h.renewMu must be held.
func (h *Holder) forceRenewal(ctx context.Context) error {
	sent, err := h.writeRenewal(ctx)
	if errors.Is(err, store.ErrConflict) {
		if _, err = h.adopt(ctx); err == nil {
			sent, err = h.writeRenewal(ctx)
		}
	}
	return h.recordRenewalResult(sent, err)
}

// writeRenewal writes the renewed record and returns when it was sent. h.renewMu must be held.
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

// adopt reads the record and takes over its revision. It fails with store.ErrConflict if the record belongs to
// another holder.
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

// recordRenewalResult records and logs the result of a renewal that was sent at the given time, and returns its
// error.
func (h *Holder) recordRenewalResult(sent time.Time, err error) error {
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
