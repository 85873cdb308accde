package holder

import (
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/lease"
)

// unknownEra is before the store has said anything.
const unknownEra = -1

// EraBegan notes the era of the store's word. A lease of an era before is lost: the store does not
// have the record any more that says so, and may give the lease to another.
func (h *Holder) EraBegan(era int64) {
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

// previous needs mu. It returns the record to succeed, as read in an era: where there is none,
// nobody has held the lease if no copy can have lost the record.
func (h *Holder) previous(current lease.Record, era int64) lease.Record {
	first := h.params.Bootstrap && h.firstEra == era
	if current.Fence == 0 && (first || era == 0) {
		return lease.NeverHeld(era)
	}
	return current
}
