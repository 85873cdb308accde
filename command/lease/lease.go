// Package lease decides when an instance may order engines.
//
// One instance at a time is the holder. A record in the store names it, with a
// fencing token that rises at each take-over. The record is replaced by
// conditional writes only, so a token belongs to one holder.
//
// The holder may order while less than Validity, less the time that an order may
// be on its way, has passed on its steady clock since it sent the last renewal
// that the store confirmed. A renewal succeeds only while the record is still the
// holder's, at the revision that the holder knows. So a renewal is needed only when
// there is something to order.
//
// A successor writes itself into the record first, which makes every later
// renewal of the old holder fail. The old holder may still order for Validity after
// the renewal that made the revision which the successor replaced; Settle, which
// the deployment asks for between orders of two holders, comes after that. Each
// renewal makes a revision of its own, so whoever knew of that revision at some
// time knows that the renewal had been sent by then (Sighting). A successor that
// had not heard of the revision before counts from its take-over. No two clocks
// are compared. A holder that releases the lease says when it last ordered which
// engine, so that its successor waits for those alone.
//
// A store that comes back from a copy has a record that says nothing of who has held the lease
// since the copy, and begins a new era. A lease of the era before is lost to its holder with the first word
// of that. Records name their era: to one that came back with a copy a successor counts as to an unknown holder,
// which renewed the lease until the take-over. Fencing tokens have the era in their upper bits, so that
// none is given out twice.
//
// A paused holder may still send one order after its check. That order carries
// the old token and the engine's sequence that it was decided on; the engine
// refuses it once the successor has ordered anything there.
package lease

import (
	"time"

	"github.com/martenport/martenport/store"
)

// Record is what the store holds.
type Record struct {
	// Holder is the machine's name. Its processes follow each other on it, so
	// that a restarted one need not wait for its predecessor once that had
	// settled.
	Holder string `json:"holder"`
	// Address is where other instances reach the holder.
	Address string `json:"address"`
	// Fence is the fencing token.
	Fence int64 `json:"fence"`
	// Era is the store's in which the record was written.
	Era int64 `json:"era,omitempty"`
	// Settled: no holder before may order any more. Until then a process of the
	// holder's that starts anew has to wait like any successor.
	Settled bool `json:"settled"`
	// Renewals counts the renewals under this token, so that each makes a revision of
	// the record. It is 0 in records of holders whose renewals change nothing, where a
	// revision says nothing of the last one, and until the first renewal of one that
	// follows such a holder, which may have renewed the lease after its successor had
	// sent the take-over.
	Renewals int64 `json:"renewals,omitempty"`
	// Released: the holder has stopped ordering.
	Released bool `json:"released"`
	// Ordered, in a released record, is how long before the release the last order
	// arrived at each engine, at the latest, in milliseconds. An engine that is
	// not named got none within Settle.
	Ordered map[string]int64 `json:"ordered,omitempty"`
	// Left, in a released record, is what the holder had left of what it lends, by workspace.
	Left map[string]float64 `json:"left,omitempty"`
}

// Params are the times of a lease.
type Params struct {
	// Validity is how long after a confirmed renewal was sent orders may arrive.
	Validity time.Duration
	// Transit is how long an order may be on its way after it was sent, before
	// it is given up. None is sent in the last Transit of Validity.
	Transit time.Duration
	// Settle must pass between orders of two holders.
	Settle time.Duration
	// Lending is how long after a confirmed renewal was sent what the holder lends may
	// arrive. It may be longer than Validity, since nothing has to pass between two holders
	// that lend.
	Lending time.Duration
}

// Lease is one instance's right to order. It is not safe for concurrent use.
type Lease struct {
	params Params
	self   string

	record   Record
	revision store.Revision
	held     bool
	// renewed is when the last confirmed renewal was sent.
	renewed time.Time
	// from is when the first order may be sent, and over is from when nothing that a holder
	// before has let begin goes on unknown, which its renewals do not bound.
	from, over time.Time
	// lend is from when no holder before lends.
	lend time.Time
	// knows is from when this process knows of every order that still counts:
	// one that follows another on its machine does not know of the other's.
	knows time.Time
	// others is when other holders last ordered each engine, at the latest, and
	// ordered when this one did.
	others, ordered map[string]time.Time
	// seen is what is known of the newest revision of the record.
	seen Sighting
}

// New returns the lease of the instance on the machine named self, not held.
func New(p Params, self string) *Lease { return &Lease{params: p, self: self} }

// Candidate returns the record to write in place of current to take over, in an era of the store.
func (l *Lease) Candidate(current Record, era int64, address string) Record {
	fence := max(current.Fence, FirstFence(era)) + 1
	current = current.asOf(era)
	candidate := Record{Holder: l.self, Address: address, Fence: fence, Era: era, Settled: l.follows(current), Renewals: 1}
	if current.Fence != 0 && current.Renewals == 0 {
		candidate.Renewals = 0
	}
	return candidate
}

// follows reports whether no other machine's holder may order after previous.
func (l *Lease) follows(previous Record) bool {
	return previous.Fence == 0 || previous.Holder == l.self && previous.Settled && !previous.Released
}

// Won notes that the store has accepted record at revision in place of previous (the
// zero Record if there was none), which was at revision replaced. sent is when the
// write was sent, now when its answer came.
func (l *Lease) Won(previous Record, replaced store.Revision, record Record, revision store.Revision, sent, now time.Time) {
	previous = previous.asOf(record.Era)
	l.record, l.revision, l.held, l.renewed = record, revision, true, sent
	l.knows = time.Time{}
	l.others, l.ordered = map[string]time.Time{}, map[string]time.Time{}
	l.from, l.over, l.lend = now, now, now
	switch {
	case l.follows(previous):
		if previous.Fence != 0 {
			l.knows = now.Add(l.params.Settle)
		}
	case previous.Released:
		for engine, age := range previous.Ordered {
			l.others[engine] = now.Add(-time.Duration(age) * time.Millisecond)
		}
	default:
		whole := l.params.Validity + l.params.Settle
		renewed := l.lastRenewal(previous, replaced, now)
		l.from = now.Add(max(0, whole-now.Sub(renewed)))
		l.over = now.Add(whole)
		l.lend = renewed.Add(l.params.Lending)
	}
}

// Renewal returns the record to write, at the revision of the last one, to renew
// the lease at now.
func (l *Lease) Renewal(now time.Time) (record Record, revision store.Revision) {
	record = l.record
	record.Settled = record.Settled || l.settled(now)
	record.Renewals++
	return record, l.revision
}

// settled reports whether the time of all holders before is over.
func (l *Lease) settled(now time.Time) bool {
	for engine := range l.others {
		if now.Before(l.OrderFrom(engine)) {
			return false
		}
	}
	return !now.Before(l.from)
}

// Renewed notes that the store has confirmed a renewal that was sent at sent.
func (l *Lease) Renewed(record Record, revision store.Revision, sent time.Time) {
	if l.held && record.Fence == l.record.Fence && sent.After(l.renewed) {
		l.record, l.renewed, l.revision = record, sent, revision
	}
}

// Over reports whether the lease is held and what holders before have let begin is over, or
// known. Orders may be sent before that: their time is bounded by renewals.
func (l *Lease) Over(now time.Time) bool { return l.held && !now.Before(l.over) }

// GoodToLend reports whether the lease is held and the holder may lend at now what one instance
// at a time may: no holder before lends any more, and none after does yet.
func (l *Lease) GoodToLend(now time.Time) bool {
	return l.held && !now.Before(l.lend) && now.Sub(l.renewed) < l.params.Lending-l.params.Transit
}

// Adopt takes over the record at revision as the store has it, and reports whether it
// is still this holder's, which has then written it by a renewal without an answer.
// That renewal counts for nothing: others may have known of the revision for long.
func (l *Lease) Adopt(record Record, revision store.Revision) bool {
	if record.Holder != l.self || record.Fence != l.record.Fence || record.Released || revision.Era() != l.revision.Era() {
		return false
	}
	l.record, l.revision = record, revision
	return true
}

// Settled reports whether the record says that no holder before may order.
func (l *Lease) Settled() bool { return l.record.Settled }

// Lost notes that the record is another's.
func (l *Lease) Lost() { l.held = false }

// Held reports whether the record is this instance's, as far as it knows.
func (l *Lease) Held() bool { return l.held }

// Record returns the record as last written, and its revision in the store.
func (l *Lease) Record() (Record, store.Revision) { return l.record, l.revision }

// OrderFrom returns when the first order may be sent to an engine.
func (l *Lease) OrderFrom(engine string) time.Time {
	if last, known := l.others[engine]; known && last.Add(l.params.Settle).After(l.from) {
		return last.Add(l.params.Settle)
	}
	return l.from
}

// Ordered notes that an order was sent to an engine.
func (l *Lease) Ordered(engine string, now time.Time) { l.ordered[engine] = now }

// Release gives the lease up and returns the record that says so. ok is false
// if an order that this process does not know of may still count: a successor
// must then wait as for any other holder.
func (l *Lease) Release(now time.Time) (record Record, revision store.Revision, ok bool) {
	record, revision = l.record, l.revision
	ok = l.held && !now.Before(l.from) && !now.Before(l.knows)
	l.held = false
	record.Released = true
	record.Ordered = map[string]int64{}
	name := func(engine string, last time.Time) {
		if age := max(0, now.Sub(last)); age < l.params.Settle {
			record.Ordered[engine] = age.Milliseconds()
		}
	}
	for engine, last := range l.others {
		name(engine, last)
	}
	for engine, checked := range l.ordered { // it may have arrived Transit later
		name(engine, checked.Add(l.params.Transit))
	}
	return record, revision, ok
}

// Fence returns the fencing token of an order to an engine sent at now; ok is
// false when none may be sent. It must be asked immediately before each send.
func (l *Lease) Fence(engine string, now time.Time) (fence int64, ok bool) {
	if now.Before(l.OrderFrom(engine)) || !l.Good(now) {
		return 0, false
	}
	return l.record.Fence, true
}

// Good reports whether the lease is held and its last renewal recent enough for an
// order at now.
func (l *Lease) Good(now time.Time) bool {
	return l.held && now.Sub(l.renewed) < l.params.Validity-l.params.Transit
}

// renewalShare is the part of the usable time after which a renewal is due: at a
// half, one renewal may fail and be repeated without a gap.
const renewalShare = 2

// RenewalDue reports whether a renewal should be sent before an order at now.
func (l *Lease) RenewalDue(now time.Time) bool {
	if l.held && !l.record.Settled && l.settled(now) {
		return true
	}
	return l.held && now.Sub(l.renewed) >= (l.params.Validity-l.params.Transit)/renewalShare
}
