package holder

import (
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
)

// unknownEra is the era before the first response of the store. A store begins a new era when it is restored from a
// backup, see package lease.
const unknownEra = -1

// ObserveEra records the era of a response of the store. A lease of an earlier era is lost: the store no longer has
// the record that names this holder and may give the lease to another instance.
func (h *Holder) ObserveEra(era int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era == unknownEra {
		h.firstEra = era
	}
	if era <= h.era {
		return
	}
	h.era = era
	if h.lease.ObserveEra(era) {
		record, _ := h.lease.Record()
		h.log.WithFields(logrus.Fields{"fence": record.Fence, "era": era}).Warn("lease lost: the store came back from a copy")
	}
}

// recordToReplace returns the record that a take-over replaces, given the record read in an era. If there is none
// and no record can have been lost by a restore from a backup, nobody has held the lease yet. That is so in era 0, in
// which the store has not been restored, and, when the whole system starts for the first time, in the first era that
// this instance sees. h.mu must be held.
func (h *Holder) recordToReplace(current lease.Record, era int64) lease.Record {
	firstStart := h.params.Bootstrap && h.firstEra == era
	if current.Fence == 0 && (firstStart || era == 0) {
		return lease.NeverHeld(era)
	}
	return current
}
