// Package lease decides when an instance may send orders to engines.
//
// One instance at a time is the holder. A record in the store names it, together with a fencing token that increases
// with each take-over. The record is replaced by conditional writes only, so each token belongs to a single holder.
//
// The holder may send orders for Validity, less the maximum time that an order is in transit, after it sent the last
// renewal that the store confirmed. This is measured on the holder's steady clock. A renewal succeeds only while the
// record is still the holder's and at the revision that the holder knows. A renewal is therefore needed only when
// there is something to order.
//
// A successor first writes itself into the record, which makes every later renewal by the old holder fail. The old
// holder may still send orders until Validity has passed since the renewal that created the replaced revision.
// Settle, the minimum time that the deployment requires between the orders of two holders, is added to that. Each
// renewal creates a new revision, so an instance that knew of a revision at some time also knows that the renewal
// had been sent by then (Observation). A successor that did not know of the revision before counts from its
// take-over. No clocks of different machines are compared. A holder that releases the lease records when it last
// ordered each engine, so its successor waits for those engines only.
//
// A store that is restored from a backup begins a new era. Its record does not show who has held the lease since the
// backup was made. A holder loses a lease of an earlier era when it first learns of the new era. Records name their
// era. A successor treats a restored record as that of an unknown holder which renewed the lease until the
// take-over. A write names a revision but no era, so an old holder that does not know of the new era yet may replace
// the record of a new one. The next fencing token is therefore not counted from the record: it is the revision that
// the take-over replaces, plus one. A later take-over replaces a later revision, so no token is issued twice.
//
// A holder that is paused after its check may still send one order. That order carries the old token and the engine
// sequence number on which it was decided. The engine refuses it once the successor has ordered anything there.
package lease

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Record is the lease record in the store.
type Record struct {
	// Holder is the name of the machine. Processes on one machine run one after the other, so a restarted process
	// need not wait for its predecessor if the predecessor had settled.
	Holder string `json:"holder"`
	// Address is the address at which other instances reach the holder.
	Address string `json:"address"`
	// Fence is the fencing token.
	Fence int64 `json:"fence"`
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
	// Settled reports that no earlier holder may send orders any more. Until it is set, a restarted process on the
	// holder's machine has to wait like any other successor.
	Settled bool `json:"settled"`
	// Renewals counts the renewals under this token, so that each of them creates a new revision of the record. It is
	// 0 in records of holders whose renewals do not change the record; the revision then does not show when the last
	// renewal was sent. The direct successor of such a holder also writes 0 until its own first renewal, because the
	// old holder may have renewed the lease after the take-over was sent.
	Renewals int64 `json:"renewals,omitempty"`
	// Released reports that the holder has stopped sending orders.
	Released bool `json:"released"`
	// Ordered is set in a released record. It maps each engine to the minimum age of the last order at the time of
	// the release, in milliseconds: the order arrived at least that long before. Engines that are not listed received
	// no order within Settle.
	Ordered map[string]int64 `json:"ordered,omitempty"`
	// Left is set in a released record. It maps each workspace to the quota that the holder could still grant.
	Left map[string]float64 `json:"left,omitempty"`
}

// Params are the durations that govern a lease.
type Params struct {
	// Validity is how long after sending a confirmed renewal orders may still arrive at engines.
	Validity time.Duration
	// Transit is the maximum time that an order is in transit; then the call is cancelled. No order is sent in the
	// last Transit of Validity.
	Transit time.Duration
	// Settle is the minimum time between the orders of two holders.
	Settle time.Duration
	// LendingValidity is how long after sending a confirmed renewal the quota that the holder lends may still arrive.
	// It may be longer than Validity, because no waiting time is required between two holders that lend.
	LendingValidity time.Duration
}

// Lease is one instance's permission to send orders. It is not safe for concurrent use.
type Lease struct {
	params Params
	self   string

	record   Record
	revision store.Revision
	held     bool
	// renewed is when the last confirmed renewal was sent.
	renewed time.Time
	// orderFrom is the earliest time to send an order. priorOperationsEnd is the time from which no operation started
	// by an earlier holder is still running unknown to this one; renewals do not bound that time.
	orderFrom, priorOperationsEnd time.Time
	// lendFrom is the time from which no earlier holder lends quota.
	lendFrom time.Time
	// ownOrdersKnownFrom is the time from which this process knows every order that still counts. A process that
	// succeeds another one on its machine does not know the orders of its predecessor.
	ownOrdersKnownFrom time.Time
	// priorOrders is the latest time at which earlier holders may have ordered each engine. ownOrders is when this
	// holder last ordered each engine.
	priorOrders, ownOrders map[string]time.Time
	// latest is the best observation of the newest known revision of the record.
	latest Observation
}

// New returns a lease that is not held, for the instance on the machine named self.
func New(p Params, self string) *Lease { return &Lease{params: p, self: self} }

// Candidate returns the record to write in place of current in order to take over, in the given era of the store.
// replaced is the revision of current, 0 if there is no record yet.
func (l *Lease) Candidate(current Record, replaced store.Revision, era int64, address string) Record {
	fence := FenceBase(era) + replaced.Number() + 1
	current = current.inEra(era)
	candidate := Record{Holder: l.self, Address: address, Fence: fence, Era: era, Settled: l.noOtherHolderMayOrder(current), Renewals: 1}
	if current.Fence != 0 && current.Renewals == 0 {
		candidate.Renewals = 0
	}
	return candidate
}

// noOtherHolderMayOrder reports whether no holder on another machine may still send orders after previous.
func (l *Lease) noOtherHolderMayOrder(previous Record) bool {
	return previous.Fence == 0 || previous.Holder == l.self && previous.Settled && !previous.Released
}

// Acquired records that the store accepted record at the given revision in place of previous, which was at
// replacedRevision. previous is the zero Record if there was none. sent is when the write was sent and now is when
// its response arrived.
func (l *Lease) Acquired(previous Record, replacedRevision store.Revision, record Record, revision store.Revision, sent, now time.Time) {
	previous = previous.inEra(record.Era)
	l.record, l.revision, l.held, l.renewed = record, revision, true, sent
	l.ownOrdersKnownFrom = time.Time{}
	l.priorOrders, l.ownOrders = map[string]time.Time{}, map[string]time.Time{}
	l.orderFrom, l.priorOperationsEnd, l.lendFrom = now, now, now
	switch {
	case l.noOtherHolderMayOrder(previous):
		if previous.Fence != 0 {
			l.ownOrdersKnownFrom = now.Add(l.params.Settle)
		}
	case previous.Released:
		for engine, age := range previous.Ordered {
			l.priorOrders[engine] = now.Add(-time.Duration(age) * time.Millisecond)
		}
	default:
		fullWait := l.params.Validity + l.params.Settle
		renewed := l.lastRenewal(previous, replacedRevision, now)
		l.orderFrom = now.Add(max(0, fullWait-now.Sub(renewed)))
		l.priorOperationsEnd = now.Add(fullWait)
		l.lendFrom = renewed.Add(l.params.LendingValidity)
	}
}

// Renewal returns the record to write at now to renew the lease, and the revision that it replaces.
func (l *Lease) Renewal(now time.Time) (record Record, revision store.Revision) {
	record = l.record
	record.Settled = record.Settled || l.priorHoldersSettled(now)
	record.Renewals++
	return record, l.revision
}

// priorHoldersSettled reports whether no earlier holder may send orders any more.
func (l *Lease) priorHoldersSettled(now time.Time) bool {
	for engine := range l.priorOrders {
		if now.Before(l.OrderFrom(engine)) {
			return false
		}
	}
	return !now.Before(l.orderFrom)
}

// Renewed records that the store has confirmed a renewal that was sent at sent.
func (l *Lease) Renewed(record Record, revision store.Revision, sent time.Time) {
	if l.held && record.Fence == l.record.Fence && sent.After(l.renewed) {
		l.record, l.renewed, l.revision = record, sent, revision
	}
}

// PriorOperationsEnded reports whether the lease is held and the operations that earlier holders started have ended
// or are known. Orders may be sent before that, because they are bounded by renewals.
func (l *Lease) PriorOperationsEnded(now time.Time) bool {
	return l.held && !now.Before(l.priorOperationsEnd)
}

// MayLend reports whether the lease is held and the holder may lend quota at now. Only one instance at a time may:
// no earlier holder lends any more and no later one lends yet.
func (l *Lease) MayLend(now time.Time) bool {
	return l.held && !now.Before(l.lendFrom) && now.Sub(l.renewed) < l.params.LendingValidity-l.params.Transit
}

// Adopt takes over the record that the store has at revision if it is still this holder's. The holder then wrote it
// by a renewal whose response was lost. Adopt reports whether the record was taken over. The adopted renewal does
// not extend the lease, because other instances may have known of the revision for a long time.
func (l *Lease) Adopt(record Record, revision store.Revision) bool {
	if record.Holder != l.self || record.Fence != l.record.Fence || record.Released || revision.Era() != l.revision.Era() {
		return false
	}
	l.record, l.revision = record, revision
	return true
}

// Settled reports whether the record states that no earlier holder may send orders.
func (l *Lease) Settled() bool { return l.record.Settled }

// Lost records that another instance has replaced the record.
func (l *Lease) Lost() { l.held = false }

// Held reports whether the record is this instance's, as far as it knows.
func (l *Lease) Held() bool { return l.held }

// Record returns the record as last written, and its revision in the store.
func (l *Lease) Record() (Record, store.Revision) { return l.record, l.revision }

// OrderFrom returns the earliest time to send an order to an engine.
func (l *Lease) OrderFrom(engine string) time.Time {
	if last, found := l.priorOrders[engine]; found && last.Add(l.params.Settle).After(l.orderFrom) {
		return last.Add(l.params.Settle)
	}
	return l.orderFrom
}

// RecordOrder records that an order was sent to an engine.
func (l *Lease) RecordOrder(engine string, now time.Time) { l.ownOrders[engine] = now }

// Release gives up the lease and returns the record to write, with the revision that it replaces. ok is false if an
// order that this process does not know of may still count. A successor must then wait as it would for any other
// holder.
func (l *Lease) Release(now time.Time) (record Record, revision store.Revision, ok bool) {
	record, revision = l.record, l.revision
	ok = l.held && !now.Before(l.orderFrom) && !now.Before(l.ownOrdersKnownFrom)
	l.held = false
	record.Released = true
	record.Ordered = map[string]int64{}
	addOrder := func(engine string, last time.Time) {
		if age := max(0, now.Sub(last)); age < l.params.Settle {
			record.Ordered[engine] = age.Milliseconds()
		}
	}
	for engine, last := range l.priorOrders {
		addOrder(engine, last)
	}
	for engine, sent := range l.ownOrders { // the order may have arrived Transit later
		addOrder(engine, sent.Add(l.params.Transit))
	}
	return record, revision, ok
}

// Fence returns the fencing token for an order that is sent to an engine at now. ok is false if no order may be
// sent. It must be called immediately before each send.
func (l *Lease) Fence(engine string, now time.Time) (fence int64, ok bool) {
	if now.Before(l.OrderFrom(engine)) || !l.Valid(now) {
		return 0, false
	}
	return l.record.Fence, true
}

// Valid reports whether the lease is held and its last renewal is recent enough to send an order at now.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && now.Sub(l.renewed) < l.params.Validity-l.params.Transit
}

// renewalDivisor is the fraction of the usable time after which a renewal is due, as a divisor. At one half, one
// renewal may fail and be repeated without a gap.
const renewalDivisor = 2

// RenewalDue reports whether a renewal should be sent before an order at now.
func (l *Lease) RenewalDue(now time.Time) bool {
	if l.held && !l.record.Settled && l.priorHoldersSettled(now) {
		return true
	}
	return l.held && now.Sub(l.renewed) >= (l.params.Validity-l.params.Transit)/renewalDivisor
}
