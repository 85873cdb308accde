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

// TestNoOrderBeforeTheOldHoldersLast: a successor waits for the validity and the
// time between holders, counted from the answer to its take-over.
func TestNoOrderBeforeTheOldHoldersLast(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(testParams, "b")
	b.Won(Record{Holder: "a", Fence: 1}, 0, Record{Holder: "b", Fence: 2}, 7, now, now)
	wait := testParams.Validity + testParams.Settle
	b.Renewed(Record{Holder: "b", Fence: 2}, 7, now.Add(wait))
	if _, ok := b.Fence("e", now.Add(wait-time.Millisecond)); ok {
		t.Error("ordered while the old holder's orders may still arrive")
	}
	if fence, ok := b.Fence("e", now.Add(wait)); !ok || fence != 2 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestCountsFromTheLastRenewal: a successor that has heard when the revision which it
// replaced was made waits from then on. Of another revision, or of a holder whose
// renewals make none, it knows nothing; and nobody's wait ends before its take-over.
func TestCountsFromTheLastRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := testParams.Validity + testParams.Settle
	for _, c := range []struct {
		what      string
		renewals  int64
		replaced  store.Revision
		age, want time.Duration
	}{
		{"heard of", 3, 7, 2 * time.Second, whole - 2*time.Second},
		{"long ago", 3, 7, time.Minute, 0},
		{"of the one before", 3, 8, 2 * time.Second, whole},
		{"renewals that change nothing", 0, 7, 2 * time.Second, whole},
	} {
		b := New(testParams, "b")
		b.Heard(Standing{Revision: 7, Age: c.age}, now)
		b.Heard(Standing{Revision: 7, Age: 0}, now)           // from one that learned of it later
		b.Heard(Standing{Revision: 6, Age: time.Minute}, now) // that has been replaced
		b.Won(Record{Holder: "a", Fence: 1, Renewals: c.renewals}, c.replaced, Record{Holder: "b", Fence: 2}, 9, now, now)
		if got := b.OrderFrom("e").Sub(now); got != c.want {
			t.Errorf("%s: orders after %v, want %v", c.what, got, c.want)
		}
	}
}

// TestFollowsUncountedRenewals: who succeeds a holder whose renewals change nothing does not
// have others count from its take-over: that one may have renewed the lease while the
// take-over was on its way. From its own first renewal on they do.
func TestFollowsUncountedRenewals(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(testParams, "b")
	before := Record{Holder: "a", Fence: 1}
	record := b.Candidate(before, 0, "")
	b.Won(before, 7, record, 8, now, now)
	renewed, _ := b.Renewal(now)
	for _, c := range []struct {
		record Record
		counts bool
	}{{record, false}, {renewed, true}, {New(testParams, "c").Candidate(renewed, 0, ""), true}, {b.Candidate(Record{}, 0, ""), true}} {
		if c.counts != (c.record.Renewals > 0) {
			t.Errorf("%+v: counted from: %v", c.record, !c.counts)
		}
	}
}

// TestLostAnswerCountsForNothing: a renewal whose answer was lost has made a revision. The
// holder goes on from it once it has renewed the lease again, and not before: others may
// have known of that revision for long.
func TestLostAnswerCountsForNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	record := a.Candidate(Record{}, 0, "")
	a.Won(Record{}, 0, record, 1, now, now)
	lost, _ := a.Renewal(now.Add(time.Second))
	if !a.Adopt(lost, 2) {
		t.Fatal("its own record is another's")
	}
	if _, ok := a.Fence("e", now.Add(testParams.Validity-testParams.Transit)); ok {
		t.Error("an order on the strength of a renewal without an answer")
	}
	again, revision := a.Renewal(now.Add(3 * time.Second))
	if revision != 2 || again.Renewals != lost.Renewals+1 {
		t.Errorf("renews %+v at revision %d", again, revision)
	}
	if a.Adopt(Record{Holder: "b", Fence: 2}, 3) || a.Adopt(Record{Holder: "a", Fence: 3}, 3) {
		t.Error("took another's record for its own")
	}
}

// TestNoOrderWithOldRenewal: a holder orders only while its last confirmed renewal
// is young enough that the order arrives within Validity.
func TestNoOrderWithOldRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(testParams, "a")
	record := l.Candidate(Record{}, 0, "")
	l.Won(Record{}, 0, record, 1, now, now)
	usable := testParams.Validity - testParams.Transit
	if _, ok := l.Fence("e", now.Add(usable-time.Millisecond)); !ok {
		t.Error("no order though the renewal is young")
	}
	if _, ok := l.Fence("e", now.Add(usable)); ok {
		t.Error("an order that may arrive after Validity")
	}
	l.Renewed(record, 1, now.Add(time.Second))
	if _, ok := l.Fence("e", now.Add(usable)); !ok {
		t.Error("no order after a renewal")
	}
}

// TestReleasedNamesEngines: after a release only the engines that were ordered
// within Settle are waited for, also those of the holder before.
func TestReleasedNamesEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "z", Fence: 1, Released: true, Ordered: map[string]int64{"old": 100}}, 0, Record{Holder: "a", Fence: 2}, 1, now, now)
	a.Ordered("e", now.Add(500*time.Millisecond))
	record, _, ok := a.Release(now.Add(time.Second))
	if !ok || !record.Released {
		t.Fatalf("release: %+v, %v", record, ok)
	}
	if _, ok := a.Fence("e", now.Add(time.Second)); ok {
		t.Error("orders after its release")
	}
	b := New(testParams, "b")
	won := now.Add(2 * time.Second)
	b.Won(record, 0, b.Candidate(record, 0, ""), 2, won, won)
	// e was ordered 500 ms before the release, and the order may have arrived
	// Transit later; old's age was told by the holder before.
	for engine, age := range map[string]time.Duration{"e": 500*time.Millisecond - testParams.Transit, "old": 1100 * time.Millisecond} {
		if want := won.Add(testParams.Settle - age); !b.OrderFrom(engine).Equal(want) {
			t.Errorf("%s from %v, want %v", engine, b.OrderFrom(engine), want)
		}
	}
	if _, ok := b.Fence("other", won); !ok {
		t.Error("waits for an engine that nobody ordered")
	}
}

// TestReleaseWhileUnsettled: who may not order yet cannot say what the holder
// before has ordered.
func TestReleaseWhileUnsettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "z", Fence: 1}, 0, Record{Holder: "a", Fence: 2}, 1, now, now)
	if _, _, ok := a.Release(now.Add(time.Second)); ok {
		t.Error("released what it did not have yet")
	}
}

// TestRestartOnOneMachine: processes of one machine are one holder.
func TestRestartOnOneMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "a", Fence: 4, Settled: true}, 0, Record{Holder: "a", Fence: 5}, 9, now, now)
	if fence, ok := a.Fence("e", now); !ok || fence != 5 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestRestartWhileUnsettled: found by TestOneHolderOrdersAtATime. A holder that
// restarts before its predecessor's time is over has to wait again.
func TestRestartWhileUnsettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "a", Fence: 4}, 0, Record{Holder: "a", Fence: 5}, 9, now, now)
	if _, ok := a.Fence("e", now); ok {
		t.Error("orders though the holder before may")
	}
}

// sentOrder is an order as an engine's owner would judge it.
type sentOrder struct {
	holder string
	fence  int64
	at     time.Time
}

// TestOneHolderOrdersAtATime walks holders that take over, release, renew with answers
// that are late or lost, pause between check and send for less than Transit, tell what
// they know of the lease, and restart, and checks every pair of orders to an engine: a
// lower token never comes after a higher one, and two machines' orders are Settle apart.
func TestOneHolderOrdersAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1000, 0), leases: map[string]*Lease{}, last: map[string]sentOrder{}, arrives: map[string]time.Time{}, tokens: map[int64]string{}}
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
	now      time.Time
	record   Record // in the store
	revision store.Revision
	leases   map[string]*Lease
	last     map[string]sentOrder // by engine
	arrives  map[string]time.Time // of the last order, by holder
	sent     []*sentRenewal       // not carried out, or not answered
	told     []toldStanding       // on their way
	// tokens is who has ordered with each fencing token.
	tokens map[int64]string
	// copied is what a copy of the store has.
	copied storedRecord
}

// storedRecord is the record with its revision.
type storedRecord struct {
	record   Record
	revision store.Revision
}

// sentRenewal is a renewal on its way to the store, or its answer on the way back.
type sentRenewal struct {
	by       *Lease
	record   Record
	revision store.Revision // that it expects, then that it has made
	at       time.Time
	done, ok bool
}

// toldStanding is what one instance has told another.
type toldStanding struct {
	to       string
	standing Standing
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
			m.sent = append(m.sent, &sentRenewal{by: l, record: record, revision: revision, at: m.now})
		}
	case "store":
		m.carryOut(t)
	case "answer":
		m.answer(t)
	case "look":
		m.look(l)
	case "copy":
		m.copied = storedRecord{m.record, m.revision}
	case "come back":
		m.record, m.revision = m.copied.record, store.RevisionOf(m.revision.Era()+1, m.copied.revision.Number())
	case "tell":
		m.told = append(m.told, toldStanding{to: rapid.SampledFrom(modelInstances).Draw(t, "to"), standing: l.Standing(m.now)})
	case "hear":
		if len(m.told) > 0 {
			i := rapid.IntRange(0, len(m.told)-1).Draw(t, "told")
			m.leases[m.told[i].to].Heard(m.told[i].standing, m.now)
			m.told = slices.Delete(m.told, i, i+1)
		}
	case "take":
		m.take(t, l)
	case "release":
		record, revision, ok := l.Release(m.now)
		if arrives := m.arrives[name]; arrives.After(m.now) {
			m.now = arrives // a holder waits for its orders to be answered
		}
		if ok && revision == m.revision {
			m.write(record)
		}
	case "restart":
		m.leases[name] = New(testParams, name)
	}
}

// look has an instance hear of the store's era and of the record's revision.
func (m *leaseModel) look(l *Lease) {
	l.EraBegan(m.revision.Era())
	l.Saw(m.revision, m.now)
}

func (m *leaseModel) write(record Record) {
	if !reflect.DeepEqual(record, m.record) {
		m.record = record
		m.revision++
	}
}

// carryOut lets a renewal that was sent, perhaps long ago, arrive at the store.
func (m *leaseModel) carryOut(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	s := m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "arrives")]
	if s.done {
		return
	}
	s.done, s.ok = true, s.revision == m.revision
	if s.revision.Number() == m.revision.Number() { // also if another has it in this era
		m.write(s.record)
	}
	if s.ok {
		s.revision = m.revision
	}
}

// answer lets an answer arrive, or be lost. Who hears that the record is not as expected
// reads it.
func (m *leaseModel) answer(t *rapid.T) {
	i := slices.IndexFunc(m.sent, func(s *sentRenewal) bool { return s.done })
	if i < 0 {
		return
	}
	s := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	switch {
	case rapid.Bool().Draw(t, "lost"):
	case s.ok:
		s.by.Renewed(s.record, s.revision, s.at)
	case s.by.Held():
		m.look(s.by)
		if !s.by.Adopt(m.record, m.revision) {
			s.by.Lost()
		}
	}
}

func (m *leaseModel) take(t *rapid.T, l *Lease) {
	if l.Held() {
		return
	}
	m.look(l)
	previous, replaced := m.record, m.revision
	sent := m.now
	m.write(l.Candidate(previous, replaced.Era(), ""))
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answer takes")) * time.Millisecond)
	l.Won(previous, replaced, m.record, m.revision, sent, m.now)
}

// order checks and sends, and lets the order arrive up to Transit later.
func (m *leaseModel) order(t *rapid.T, name string, l *Lease) {
	engine := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine")
	fence, ok := l.Fence(engine, m.now)
	if !ok {
		return
	}
	if other, used := m.tokens[fence]; used && other != name {
		t.Fatalf("%s and %s order with one token, %d", other, name, fence)
	}
	m.tokens[fence] = name
	l.Ordered(engine, m.now)
	transit := time.Duration(rapid.IntRange(0, int(testParams.Transit.Milliseconds())-1).Draw(t, "transit")) * time.Millisecond
	o := sentOrder{holder: name, fence: fence, at: m.now.Add(transit)}
	if o.at.After(m.arrives[name]) {
		m.arrives[name] = o.at
	}
	before, any := m.last[engine]
	m.last[engine] = o
	if !any {
		return
	}
	if o.fence < before.fence {
		t.Fatalf("%s orders %s with token %d after %d", name, engine, o.fence, before.fence)
	}
	if o.holder != before.holder && o.at.Sub(before.at) < testParams.Settle {
		t.Fatalf("%s orders %s only %v after %s", name, engine, o.at.Sub(before.at), before.holder)
	}
}
