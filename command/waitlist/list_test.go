package waitlist

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

var patient, urgent = serving.TrafficClass{Priority: 2, Objective: 8 * time.Second}, serving.TrafficClass{Priority: 1, Objective: time.Second}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func refused(request uint64, age time.Duration) Refused {
	return Refused{Request: request, Model: "m", Class: patient, Age: age}
}

// fourASecond lets four requests a second begin, of which dueFraction is for the list.
func fourASecond(string) float64 { return 4 / dueFraction }

// dueOf returns the requests that are due.
func dueOf(l *List) map[uint64]bool {
	due := map[uint64]bool{}
	for _, request := range l.Update().Due {
		due[request] = true
	}
	return due
}

// TestOrder: requests get their turns in the order of their first refusals, whichever instance reported first, and as
// many as the engines begin. A request that returns and is refused again keeps its turn.
func TestOrder(t *testing.T) {
	l := NewList()
	l.Advance(fourASecond, at(0))
	l.Record(Report{Refused: []Refused{refused(3, 0), refused(2, 100*time.Millisecond)}}, at(200))
	if listed := l.Record(Report{Refused: []Refused{refused(1, 200*time.Millisecond), refused(3, 0)}}, at(200)); listed[Key{"m", patient}] != 1 {
		t.Errorf("%v listed, want one new request", listed)
	}
	for _, step := range []struct {
		ms  int
		due []uint64
	}{{250, []uint64{1}}, {300, []uint64{1}}, {500, []uint64{1, 2}}, {750, []uint64{1, 2, 3}}} {
		l.Advance(fourASecond, at(step.ms))
		due := dueOf(l)
		if len(due) != len(step.due) || !due[step.due[len(step.due)-1]] {
			t.Errorf("after %d ms %v are due, want %v", step.ms, due, step.due)
		}
	}
	l.Record(Report{Begun: []uint64{2, 2, 77}}, at(760))
	if due := dueOf(l); due[2] || len(due) != 2 {
		t.Errorf("%v due after 2 began", due)
	}
}

// TestLapse: a turn that nobody claims lapses, as do requests that do not return, also if the clock jumps. Late
// requests, and those whose turn would be too late, get none.
func TestLapse(t *testing.T) {
	for _, jump := range []time.Duration{12 * time.Second, time.Hour, -time.Hour} {
		l := NewList()
		late := refused(3, 0)
		late.TooLate = true
		l.Record(Report{Refused: []Refused{refused(1, 0), refused(2, 7*time.Second), late}}, at(0))
		l.Advance(fourASecond, at(0))
		l.Advance(fourASecond, at(400))
		if due := dueOf(l); !due[1] || len(due) != 1 {
			t.Errorf("%v due, want the first only", due)
		}
		l.Advance(fourASecond, at(400).Add(jump))
		if u := l.Update(); len(u.Due) > 0 || len(l.byRequest) > 0 || len(l.models) > 0 {
			t.Errorf("%+v after a jump of %s", u, jump)
		}
	}
}

// TestNoEngines: nothing is due while no engine serves the model, and nothing is said about waits.
func TestNoEngines(t *testing.T) {
	l := NewList()
	l.Record(Report{Refused: []Refused{refused(1, 0)}}, at(0))
	for ms := range 10 {
		l.Advance(func(string) float64 { return 0 }, at(100*ms))
	}
	if u := l.Update(); len(u.Due) > 0 || len(u.Queues) > 0 || len(l.Booked("m")) > 0 {
		t.Errorf("%+v", u)
	}
}

// TestBounds: many fingerprints, models and classes use bounded memory and bounded messages, and other models get
// their turns.
func TestBounds(t *testing.T) {
	l, request := NewList(), uint64(1)
	l.Record(Report{Refused: []Refused{{Request: request, Model: "other", Class: urgent}}}, at(0))
	for n := range 2000 {
		var r Report
		for range 3 * maxReported {
			request++
			r.Refused = append(r.Refused, Refused{Request: request, Model: string(rune('a' + n%200)), Class: serving.TrafficClass{Priority: int(request % 50)}, Age: -time.Hour})
		}
		l.Record(r, at(0))
		l.Record(Report{Refused: r.Refused[:1]}, at(0)) // duplicates
	}
	l.Advance(func(string) float64 { return 1000 }, at(0))
	l.Advance(func(string) float64 { return 1000 }, at(500))
	if len(l.models) > maxModels || len(l.byRequest) > maxModels*maxListed {
		t.Errorf("%d models, %d requests", len(l.models), len(l.byRequest))
	}
	for name, m := range l.models {
		if len(m.entries) > maxListed || len(m.lanes) > maxClasses {
			t.Errorf("%s: %d requests in %d classes", name, len(m.entries), len(m.lanes))
		}
	}
	if u := l.Update(); len(u.Due) > maxDue || len(u.Queues) > maxQueues {
		t.Errorf("%d due, %d queues", len(u.Due), len(u.Queues))
	}
	if l.Counts().Full == 0 {
		t.Error("no request was counted as not listed")
	}
}

// TestDesk: an instance admits a due request once, reports it again if the report was not answered, and relies on an
// update only for a while. A restarted instance knows nothing and admits nobody.
func TestDesk(t *testing.T) {
	d := NewDesk()
	if d.Begin(1, at(0)) {
		t.Error("admitted without an update")
	}
	update := Update{Due: []uint64{1, 2}, Queues: []Queue{{"m", patient, time.Second, 100 * time.Millisecond}}}
	d.Apply(update, at(0))
	if !d.Begin(1, at(10)) || d.Begin(1, at(10)) || d.Begin(3, at(10)) {
		t.Error("want request 1 admitted once, and 3 not")
	}
	lost := d.Report(at(20))
	d.Restore(lost, at(30))
	d.Apply(update, at(40)) // the holder does not know yet that 1 has begun
	if d.Begin(1, at(50)) {
		t.Error("admitted twice")
	}
	if again := d.Report(at(60)); len(again.Begun) != 1 || again.Begun[0] != 1 {
		t.Errorf("%+v reported after a lost report", again)
	}
	for _, now := range []time.Time{at(40).Add(dueLifetime), at(-1000)} {
		if d.Begin(2, now) {
			t.Error("admitted by an update that is too old, or after a jump of the clock")
		}
	}
}

// TestDeskRefuse: each request that is refused is told a later time, one whose turn comes too late is reported as such,
// and what is reported is bounded.
func TestDeskRefuse(t *testing.T) {
	d := NewDesk()
	if _, known := d.Refuse(refused(9, 0), time.Second, 0, at(0)); known {
		t.Error("a wait is known without an update")
	}
	d.Apply(Update{Queues: []Queue{{"m", patient, time.Second, 100 * time.Millisecond}}}, at(0))
	for n, want := range []time.Duration{1000, 1100, 1200} {
		if wait, known := d.Refuse(refused(uint64(n+1), 0), 1150*time.Millisecond, 0, at(0)); !known || wait != want*time.Millisecond {
			t.Errorf("request %d is told %s, want %d ms", n+1, wait, want)
		}
	}
	for n := range 1000 {
		d.Refuse(refused(uint64(n+100), 0), 0, 0.5, at(0))
	}
	r := d.Report(at(300))
	if len(r.Refused) > maxReported || r.Refused[1].TooLate || !r.Refused[3].TooLate || r.Refused[0].Age != 300*time.Millisecond {
		t.Errorf("%d reported, first %+v", len(r.Refused), r.Refused[:4])
	}
	if again := d.Report(at(400)); len(again.Refused) > 0 {
		t.Errorf("%d reported twice", len(again.Refused))
	}
}
