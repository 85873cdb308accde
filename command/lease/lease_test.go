package lease

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/store"
)

var testParams = Params{Validity: 2500 * time.Millisecond, Transit: 500 * time.Millisecond, Settle: 3200 * time.Millisecond}

// TestSuccessorWaitsForValidityAndSettle guards against a successor that sends orders while those of the old holder
// may still arrive: it waits for Validity and Settle, counted from the response to its take-over.
func TestSuccessorWaitsForValidityAndSettle(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(testParams, "b")
	b.Acquired(Record{Holder: "a", Fence: 1}, 0, Record{Holder: "b", Fence: 2}, 7, now, now)
	wait := testParams.Validity + testParams.Settle
	b.Renewed(Record{Holder: "b", Fence: 2}, 7, now.Add(wait))
	if _, ok := b.Fence("e", now.Add(wait-time.Millisecond)); ok {
		t.Error("ordered while the old holder's orders may still arrive at engines")
	}
	if fence, ok := b.Fence("e", now.Add(wait)); !ok || fence != 2 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestWaitCountsFromKnownRenewal: a successor that knows when the replaced revision was created counts its wait from
// then. A report on another revision, or on a holder whose renewals create no revision, does not shorten the wait.
// No wait ends before the take-over.
func TestWaitCountsFromKnownRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	fullWait := testParams.Validity + testParams.Settle
	for _, c := range []struct {
		what      string
		renewals  int64
		replaced  store.Revision
		age, want time.Duration
	}{
		{"heard of", 3, 7, 2 * time.Second, fullWait - 2*time.Second},
		{"long ago", 3, 7, time.Minute, 0},
		{"of the one before", 3, 8, 2 * time.Second, fullWait},
		{"renewals that change nothing", 0, 7, 2 * time.Second, fullWait},
	} {
		b := New(testParams, "b")
		b.ObserveRemote(RenewalAge{Revision: 7, Age: c.age}, now)
		b.ObserveRemote(RenewalAge{Revision: 7, Age: 0}, now)           // from an instance that learned of it later
		b.ObserveRemote(RenewalAge{Revision: 6, Age: time.Minute}, now) // of a replaced revision
		b.Acquired(Record{Holder: "a", Fence: 1, Renewals: c.renewals}, c.replaced, Record{Holder: "b", Fence: 2}, 9, now, now)
		if got := b.OrderFrom("e").Sub(now); got != c.want {
			t.Errorf("%s: orders after %v, want %v", c.what, got, c.want)
		}
	}
}

// TestRenewalCounterAfterHolderWithoutCounter: the successor of a holder that does not count its renewals writes 0
// renewals until its own first renewal, because the old holder may have renewed the lease while the take-over was in
// transit. Otherwise other instances would count their wait from the take-over, which is too early.
func TestRenewalCounterAfterHolderWithoutCounter(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(testParams, "b")
	before := Record{Holder: "a", Fence: 1}
	record := b.Candidate(before, 7, 0, "")
	b.Acquired(before, 7, record, 8, now, now)
	renewed, _ := b.Renewal(now)
	for _, c := range []struct {
		record Record
		counts bool
	}{{record, false}, {renewed, true}, {New(testParams, "c").Candidate(renewed, 8, 0, ""), true}, {b.Candidate(Record{}, 0, 0, ""), true}} {
		if c.counts != (c.record.Renewals > 0) {
			t.Errorf("%+v: has a renewal count: %v", c.record, !c.counts)
		}
	}
}

// TestUnconfirmedRenewalDoesNotExtendLease: a renewal whose response was lost has created a revision. The holder
// adopts that revision, but may order only after it has renewed the lease again, because other instances may have
// known of the revision for a long time.
func TestUnconfirmedRenewalDoesNotExtendLease(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	record := a.Candidate(Record{}, 0, 0, "")
	a.Acquired(Record{}, 0, record, 1, now, now)
	unconfirmed, _ := a.Renewal(now.Add(time.Second))
	if !a.Adopt(unconfirmed, 2) {
		t.Fatal("did not adopt its own record")
	}
	if _, ok := a.Fence("e", now.Add(testParams.Validity-testParams.Transit)); ok {
		t.Error("order sent on the basis of an unconfirmed renewal")
	}
	again, revision := a.Renewal(now.Add(3 * time.Second))
	if revision != 2 || again.Renewals != unconfirmed.Renewals+1 {
		t.Errorf("renewal writes %+v at revision %d", again, revision)
	}
	if a.Adopt(Record{Holder: "b", Fence: 2}, 3) || a.Adopt(Record{Holder: "a", Fence: 3}, 3) {
		t.Error("adopted the record of another holder or token")
	}
}

// TestNoOrderArrivesAfterValidity: a holder sends orders only while its last confirmed renewal is recent enough that
// they arrive within Validity.
func TestNoOrderArrivesAfterValidity(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(testParams, "a")
	record := l.Candidate(Record{}, 0, 0, "")
	l.Acquired(Record{}, 0, record, 1, now, now)
	usable := testParams.Validity - testParams.Transit
	if _, ok := l.Fence("e", now.Add(usable-time.Millisecond)); !ok {
		t.Error("no order allowed though the last renewal is recent")
	}
	if _, ok := l.Fence("e", now.Add(usable)); ok {
		t.Error("allowed an order that may arrive after Validity")
	}
	l.Renewed(record, 1, now.Add(time.Second))
	if _, ok := l.Fence("e", now.Add(usable)); !ok {
		t.Error("no order allowed after a renewal")
	}
}

// TestReleaseRecordsRecentlyOrderedEngines: after a release the successor waits only for engines that were ordered
// within Settle, including those ordered by the holder before the one that released.
func TestReleaseRecordsRecentlyOrderedEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Acquired(Record{Holder: "z", Fence: 1, Released: true, Ordered: map[string]int64{"old": 100}}, 0, Record{Holder: "a", Fence: 2}, 1, now, now)
	a.RecordOrder("e", now.Add(500*time.Millisecond))
	record, _, ok := a.Release(now.Add(time.Second))
	if !ok || !record.Released {
		t.Fatalf("release: %+v, %v", record, ok)
	}
	if _, ok := a.Fence("e", now.Add(time.Second)); ok {
		t.Error("order allowed after the release")
	}
	b := New(testParams, "b")
	won := now.Add(2 * time.Second)
	b.Acquired(record, 0, b.Candidate(record, 1, 0, ""), 2, won, won)
	// e was ordered 500 ms before the release and the order may have arrived Transit later. The age for old comes
	// from the record of the earlier holder.
	for engine, age := range map[string]time.Duration{"e": 500*time.Millisecond - testParams.Transit, "old": 1100 * time.Millisecond} {
		if want := won.Add(testParams.Settle - age); !b.OrderFrom(engine).Equal(want) {
			t.Errorf("%s from %v, want %v", engine, b.OrderFrom(engine), want)
		}
	}
	if _, ok := b.Fence("other", won); !ok {
		t.Error("waits for an engine that no holder has ordered")
	}
}

// TestReleaseWhileUnsettled: an instance that may not send orders yet does not know what its predecessor ordered, so
// it cannot hand the lease over.
func TestReleaseWhileUnsettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Acquired(Record{Holder: "z", Fence: 1}, 0, Record{Holder: "a", Fence: 2}, 1, now, now)
	if _, _, ok := a.Release(now.Add(time.Second)); ok {
		t.Error("released the lease before it was allowed to send orders")
	}
}

// TestRestartOnOneMachine: a process that succeeds a settled holder on the same machine need not wait.
func TestRestartOnOneMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Acquired(Record{Holder: "a", Fence: 4, Settled: true}, 0, Record{Holder: "a", Fence: 5}, 9, now, now)
	if fence, ok := a.Fence("e", now); !ok || fence != 5 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestRestartWhileUnsettled: a holder that restarts before its predecessor's time has ended has to wait again. This
// case was found by TestOneHolderOrdersAtATime.
func TestRestartWhileUnsettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Acquired(Record{Holder: "a", Fence: 4}, 0, Record{Holder: "a", Fence: 5}, 9, now, now)
	if _, ok := a.Fence("e", now); ok {
		t.Error("order allowed while the predecessor may still send orders")
	}
}

// sentOrder is an order as the engine sees it.
type sentOrder struct {
	holder    string
	fence     int64
	arrivedAt time.Time
}

// TestOneHolderOrdersAtATime runs random sequences of holders that take over, release, renew with late or lost
// responses, pause for less than Transit between check and send, report what they know of the lease, and restart. It
// checks every pair of consecutive orders to an engine: a lower token never follows a higher one, and orders from
// two machines are at least Settle apart.
func TestOneHolderOrdersAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1000, 0), leases: map[string]*Lease{}, lastOrder: map[string]sentOrder{}, lastArrival: map[string]time.Time{}, tokenHolder: map[int64]string{}}
		for _, name := range modelInstances {
			m.leases[name] = New(testParams, name)
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			m.step(t)
		}
	})
}

var modelInstances = []string{"a", "b", "c"}

type leaseModel struct {
	now          time.Time
	record       Record // in the store
	revision     store.Revision
	leases       map[string]*Lease
	lastOrder    map[string]sentOrder // by engine
	lastArrival  map[string]time.Time // arrival of the last order, by holder
	renewals     []*sentRenewal       // not applied yet, or response not delivered
	observations []sentObservation    // in transit
	// tokenHolder is the instance that has used each fencing token.
	tokenHolder map[int64]string
	// backup is the record in a backup of the store.
	backup storedRecord
}

// storedRecord is the record with its revision.
type storedRecord struct {
	record   Record
	revision store.Revision
}

// sentRenewal is a renewal in transit to the store, or its response in transit back.
type sentRenewal struct {
	lease       *Lease
	record      Record
	revision    store.Revision // expected revision, then the one it created
	sentAt      time.Time
	applied, ok bool
}

// sentObservation is a report from one instance to another.
type sentObservation struct {
	to         string
	renewalAge RenewalAge
}

func (m *leaseModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "passes")) * time.Millisecond)
	name := rapid.SampledFrom(modelInstances).Draw(t, "instance")
	l := m.leases[name]
	actions := []string{"order", "order", "order", "renew", "renew", "store", "store", "answer", "look", "tell", "hear", "take", "release", "restart", "copy", "come back"}
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "order":
		m.order(t, name, l)
	case "renew":
		record, revision := l.Renewal(m.now)
		if l.Held() {
			m.renewals = append(m.renewals, &sentRenewal{lease: l, record: record, revision: revision, sentAt: m.now})
		}
	case "store":
		m.applyRenewal(t)
	case "answer":
		m.deliverAnswer(t)
	case "look":
		m.observe(l)
	case "copy":
		m.backup = storedRecord{m.record, m.revision}
	case "come back":
		m.record, m.revision = m.backup.record, store.RevisionOf(m.revision.Era()+1, m.backup.revision.Number())
	case "tell":
		m.observations = append(m.observations, sentObservation{to: rapid.SampledFrom(modelInstances).Draw(t, "to"), renewalAge: l.RenewalAge(m.now)})
	case "hear":
		if len(m.observations) > 0 {
			i := rapid.IntRange(0, len(m.observations)-1).Draw(t, "told")
			m.leases[m.observations[i].to].ObserveRemote(m.observations[i].renewalAge, m.now)
			m.observations = slices.Delete(m.observations, i, i+1)
		}
	case "take":
		m.takeOver(t, l)
	case "release":
		record, revision, ok := l.Release(m.now)
		if arrives := m.lastArrival[name]; arrives.After(m.now) {
			m.now = arrives // a holder waits for the responses to its orders
		}
		if ok && revision == m.revision {
			m.write(record)
		}
	case "restart":
		m.leases[name] = New(testParams, name)
	}
}

// observe lets an instance read the store's era and the record's revision.
func (m *leaseModel) observe(l *Lease) {
	l.ObserveEra(m.revision.Era())
	l.Observe(m.revision, m.now)
}

func (m *leaseModel) write(record Record) {
	if !reflect.DeepEqual(record, m.record) {
		m.record = record
		m.revision++
	}
}

// applyRenewal lets a renewal that was sent at any earlier time arrive at the store.
func (m *leaseModel) applyRenewal(t *rapid.T) {
	if len(m.renewals) == 0 {
		return
	}
	s := m.renewals[rapid.IntRange(0, len(m.renewals)-1).Draw(t, "arrives")]
	if s.applied {
		return
	}
	s.applied, s.ok = true, s.revision == m.revision
	if s.revision.Number() == m.revision.Number() { // also if another record has that number in this era
		m.write(s.record)
	}
	if s.ok {
		s.revision = m.revision
	}
}

// deliverAnswer delivers or drops the response to a renewal. An instance that learns of a conflict reads the record.
func (m *leaseModel) deliverAnswer(t *rapid.T) {
	i := slices.IndexFunc(m.renewals, func(s *sentRenewal) bool { return s.applied })
	if i < 0 {
		return
	}
	s := m.renewals[i]
	m.renewals = slices.Delete(m.renewals, i, i+1)
	switch {
	case rapid.Bool().Draw(t, "lost"):
	case s.ok:
		s.lease.Renewed(s.record, s.revision, s.sentAt)
	case s.lease.Held():
		m.observe(s.lease)
		if !s.lease.Adopt(m.record, m.revision) {
			s.lease.Lost()
		}
	}
}

func (m *leaseModel) takeOver(t *rapid.T, l *Lease) {
	if l.Held() {
		return
	}
	m.observe(l)
	previous, replaced := m.record, m.revision
	sent := m.now
	m.write(l.Candidate(previous, replaced, replaced.Era(), ""))
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answer takes")) * time.Millisecond)
	l.Acquired(previous, replaced, m.record, m.revision, sent, m.now)
}

// order checks the lease and sends an order, which arrives up to Transit later.
func (m *leaseModel) order(t *rapid.T, name string, l *Lease) {
	engine := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine")
	fence, ok := l.Fence(engine, m.now)
	if !ok {
		return
	}
	if other, used := m.tokenHolder[fence]; used && other != name {
		t.Fatalf("%s and %s send orders with the same token %d", other, name, fence)
	}
	m.tokenHolder[fence] = name
	l.RecordOrder(engine, m.now)
	transit := time.Duration(rapid.IntRange(0, int(testParams.Transit.Milliseconds())-1).Draw(t, "transit")) * time.Millisecond
	o := sentOrder{holder: name, fence: fence, arrivedAt: m.now.Add(transit)}
	if o.arrivedAt.After(m.lastArrival[name]) {
		m.lastArrival[name] = o.arrivedAt
	}
	before, any := m.lastOrder[engine]
	m.lastOrder[engine] = o
	if !any {
		return
	}
	if o.fence < before.fence {
		t.Fatalf("%s sends an order to %s with token %d after token %d", name, engine, o.fence, before.fence)
	}
	if o.holder != before.holder && o.arrivedAt.Sub(before.arrivedAt) < testParams.Settle {
		t.Fatalf("%s sends an order to %s only %v after %s", name, engine, o.arrivedAt.Sub(before.arrivedAt), before.holder)
	}
}
