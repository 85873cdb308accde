package lease

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testParams = Params{Validity: 2500 * time.Millisecond, Transit: 500 * time.Millisecond, Settle: 3200 * time.Millisecond}

// TestNoOrderBeforeTheOldHoldersLast: a successor waits for the validity and the
// time between holders, counted from the answer to its take-over.
func TestNoOrderBeforeTheOldHoldersLast(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(testParams, "b")
	b.Won(Record{Holder: "a", Fence: 1}, Record{Holder: "b", Fence: 2}, 7, now, now)
	wait := testParams.Validity + testParams.Settle
	b.Renewed(Record{Holder: "b", Fence: 2}, 7, now.Add(wait))
	if _, ok := b.Fence("e", now.Add(wait-time.Millisecond)); ok {
		t.Error("ordered while the old holder's orders may still arrive")
	}
	if fence, ok := b.Fence("e", now.Add(wait)); !ok || fence != 2 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestNoOrderWithOldRenewal: a holder orders only while its last confirmed renewal
// is young enough that the order arrives within Validity.
func TestNoOrderWithOldRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(testParams, "a")
	record := l.Candidate(Record{}, "")
	l.Won(Record{}, record, 1, now, now)
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
	a.Won(Record{Holder: "z", Fence: 1, Released: true, Ordered: map[string]int64{"old": 100}}, Record{Holder: "a", Fence: 2}, 1, now, now)
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
	b.Won(record, b.Candidate(record, ""), 2, won, won)
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
	a.Won(Record{Holder: "z", Fence: 1}, Record{Holder: "a", Fence: 2}, 1, now, now)
	if _, _, ok := a.Release(now.Add(time.Second)); ok {
		t.Error("released what it did not have yet")
	}
}

// TestRestartOnOneMachine: processes of one machine are one holder.
func TestRestartOnOneMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "a", Fence: 4, Settled: true}, Record{Holder: "a", Fence: 5}, 9, now, now)
	if fence, ok := a.Fence("e", now); !ok || fence != 5 {
		t.Errorf("fence %d, %v", fence, ok)
	}
}

// TestRestartWhileUnsettled: found by TestOneHolderOrdersAtATime. A holder that
// restarts before its predecessor's time is over has to wait again.
func TestRestartWhileUnsettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	a.Won(Record{Holder: "a", Fence: 4}, Record{Holder: "a", Fence: 5}, 9, now, now)
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

// TestOneHolderOrdersAtATime walks holders that take over, release, fail to
// renew, pause between check and send for less than Transit, and restart, and
// checks every pair of orders to an engine: a lower token never comes after a
// higher one, and two machines' orders are Settle apart.
func TestOneHolderOrdersAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1000, 0), leases: map[string]*Lease{}, last: map[string]sentOrder{}, arrives: map[string]time.Time{}}
		for _, name := range []string{"a", "b", "c"} {
			m.leases[name] = New(testParams, name)
		}
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			m.step(t)
		}
	})
}

type leaseModel struct {
	now      time.Time
	record   Record // in the store
	revision int64
	leases   map[string]*Lease
	last     map[string]sentOrder // by engine
	arrives  map[string]time.Time // of the last order, by holder
}

func (m *leaseModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "passes")) * time.Millisecond)
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
	l := m.leases[name]
	switch rapid.SampledFrom([]string{"order", "order", "order", "renew", "renew", "take", "release", "restart"}).Draw(t, "action") {
	case "order":
		m.order(t, name, l)
	case "renew":
		record, revision := l.Renewal(m.now)
		if !l.Held() || revision != m.revision {
			l.Lost()
			return
		}
		if !reflect.DeepEqual(record, m.record) {
			m.record = record
			m.revision++
		}
		l.Renewed(record, m.revision, m.now)
	case "take":
		if l.Held() {
			return
		}
		previous := m.record
		m.record = l.Candidate(previous, "")
		m.revision++
		sent := m.now
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "answer takes")) * time.Millisecond)
		l.Won(previous, m.record, m.revision, sent, m.now)
	case "release":
		record, revision, ok := l.Release(m.now)
		if arrives := m.arrives[name]; arrives.After(m.now) {
			m.now = arrives // a holder waits for its orders to be answered
		}
		if ok && revision == m.revision {
			m.record = record
			m.revision++
		}
	case "restart":
		m.leases[name] = New(testParams, name)
	}
}

// order checks and sends, and lets the order arrive up to Transit later.
func (m *leaseModel) order(t *rapid.T, name string, l *Lease) {
	engine := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "engine")
	fence, ok := l.Fence(engine, m.now)
	if !ok {
		return
	}
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
