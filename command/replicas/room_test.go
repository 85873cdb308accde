package replicas

import (
	"math"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
	"pgregory.net/rapid"
)

// classWith returns the class of urgent callers with another priority.
func classWith(priority int) serving.TrafficClass {
	return serving.TrafficClass{Priority: priority, Objective: urgentClass.Objective}
}

// TestRoomUnderBurst: a burst of one class is paid by that class. Without room by class, a burst of patient callers is
// paid by urgent ones where those may be refused, and otherwise by patient callers long after the burst.
func TestRoomUnderBurst(t *testing.T) {
	for _, c := range []struct {
		name string
		roomCase
		// urgent and patient are the shares on time, at least, of those that come in the burst and of those that come later.
		urgent, patient [2]float64
	}{
		{"urgent of priority 0", roomCase{urgent: urgentClass, bursting: 1}, [2]float64{0.9, 0.9}, [2]float64{0.5, 0.5}},
		{"urgent of priority 1", roomCase{urgent: classWith(1), bursting: 1}, [2]float64{0.9, 0.9}, [2]float64{0.5, 0.5}},
		{"urgent of the same priority", roomCase{urgent: classWith(patientClass.Priority), bursting: 1}, [2]float64{0.2, 0.3}, [2]float64{0.5, 0.6}},
		{"burst of urgent callers", roomCase{urgent: urgentClass, bursting: 0}, [2]float64{0.5, 0.5}, [2]float64{0.3, 0.7}},
	} {
		byModel := c.roomCase
		byModel.byModel = true
		before, after := playRooms(byModel), playRooms(c.roomCase)
		for i, want := range [][2]float64{c.urgent, c.patient} {
			name := []string{"urgent", "patient"}[i]
			t.Logf("%s: %s in the burst: %v; before: %v", c.name, name, after.during[i], before.during[i])
			t.Logf("%s: %s after it: %v; before: %v", c.name, name, after.after[i], before.after[i])
			if after.during[i].share(after.during[i].onTime) < want[0] || after.after[i].share(after.after[i].onTime) < want[1] {
				t.Errorf("%s: %s: %v in the burst, %v after it, want %.2f on time", c.name, name, after.during[i], after.after[i], want)
			}
		}
		if before.worst()*2 > after.worst() {
			t.Errorf("%s: of those served worst %.2f are on time, %.2f before", c.name, after.worst(), before.worst())
		}
		if c.bursting == 1 && after.during[0].refusedShare() > after.during[1].refusedShare() {
			t.Errorf("%s: %v of the urgent, %v of the patient callers who send the burst", c.name, after.during[0], after.during[1])
		}
	}
}

// roomSeeds is the number of plays over which outcomes are added up.
const roomSeeds = 2

// playRooms returns the sums of the outcomes of plays with different seeds.
func playRooms(c roomCase) *roomPlay {
	total := &roomPlay{}
	for c.seed = range roomSeeds {
		p := playRoom(c)
		for i := range p.during {
			total.during[i].add(p.during[i])
			total.after[i].add(p.after[i])
		}
	}
	return total
}

func (o *outcome) add(other outcome) {
	o.onTime += other.onTime
	o.late += other.late
	o.refused += other.refused
	o.sent += other.sent
}

// refusedShare returns the share of requests that were refused in the end.
func (o outcome) refusedShare() float64 { return o.share(o.refused) }

// worst returns the share on time of the class that is served worst, in the burst or after it.
func (p *roomPlay) worst() float64 {
	worst := 1.0
	for _, o := range append(p.during[:], p.after[:]...) {
		worst = min(worst, o.share(o.onTime))
	}
	return worst
}

// TestRoomWithoutShortage: below the capacity, hardly any request is refused.
func TestRoomWithoutShortage(t *testing.T) {
	p := playRoom(roomCase{urgent: classWith(1), bursting: -1})
	for i, o := range p.after {
		if o.share(o.onTime) < 0.9 || o.refusedShare() > 0.01 {
			t.Errorf("class %d: %v", i, o)
		}
	}
}

// TestRoomSurvivesFailures: what is lost or stale costs urgent callers little, and the shares of a lost holder expire.
func TestRoomSurvivesFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		roomCase
		urgent float64 // on time in the burst, at least
	}{
		{"reports lost", roomCase{lostReports: 0.3}, 0.85},
		{"replies lost", roomCase{staleReplies: 0.6}, 0.85},
		{"successor without history", roomCase{holderLost: 21 * time.Second, successorAt: 24 * time.Second}, 0.7},
		{"demand shifts to other models", roomCase{shifts: true}, 0.85},
	} {
		c.roomCase.urgent, c.bursting = classWith(1), 1
		p := playRoom(c.roomCase)
		t.Logf("%s: urgent %v, patient %v", c.name, p.during[0], p.during[1])
		if o := p.during[0]; o.share(o.onTime) < c.urgent {
			t.Errorf("%s: %v, want %.2f on time", c.name, o, c.urgent)
		}
	}
	p := playRoom(roomCase{urgent: classWith(1), bursting: 1, holderLost: 22 * time.Second})
	for _, o := range p.after {
		if o.refused > 0 {
			t.Errorf("%v, want none refused long after the holder was lost", o)
		}
	}
}

// TestLentRoomComesBack: patient callers use the room of urgent ones who send nothing, and lose it when those are back.
func TestLentRoomComesBack(t *testing.T) {
	c := roomCase{urgent: classWith(1), bursting: 1, urgentBack: 25 * time.Second}
	byModel := c
	byModel.byModel = true
	before, after := playRooms(byModel), playRooms(c)
	t.Logf("urgent %v, patient %v; before: urgent %v, patient %v", after.during[0], after.during[1], before.during[0], before.during[1])
	if o := after.during[0]; o.share(o.onTime) < 0.85 || o.share(o.onTime) < before.during[0].share(before.during[0].onTime) {
		t.Errorf("urgent callers are back: %v, before: %v", o, before.during[0])
	}
	if o := after.during[1]; o.share(o.onTime) < 0.6 {
		t.Errorf("patient callers with lent room: %v", o)
	}
}

// TestDivideRoom checks the properties of a division for any claims.
func TestDivideRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []claim
		requested, guaranteed := 0.0, 0.0
		for range rapid.IntRange(1, 6).Draw(t, "classes") {
			c := claim{class: serving.TrafficClass{Priority: rapid.IntRange(0, 9).Draw(t, "priority")}, requested: rapid.Float64Range(0, 100).Draw(t, "requested")}
			c.guaranteed = c.requested * rapid.Float64Range(0, 1).Draw(t, "guaranteed")
			claims = append(claims, c)
			requested += c.requested
			guaranteed += c.guaranteed
		}
		room := rapid.Float64Range(0, 300).Draw(t, "room")
		shares := divideRoom(room, 0, claims)
		admitted := 0.0
		for i, c := range claims {
			if shares[i] < 0 || shares[i] > 1 || math.IsNaN(shares[i]) {
				t.Fatalf("share %v of %+v", shares[i], c)
			}
			admitted += shares[i] * c.requested
			for j, other := range claims {
				if c.class.Priority < other.class.Priority && c.requested > 0 && other.requested > 0 && shares[i] < shares[j]-1e-9 {
					t.Fatalf("%v of %+v, %v of %+v", shares[i], c, shares[j], other)
				}
			}
		}
		if math.Abs(admitted-min(room, requested)) > 1e-6*max(1, requested) {
			t.Fatalf("%v admitted, with room for %v of %v", admitted, room, requested)
		}
		ordered := true // if no class is below one of lower priority by its guarantee alone, all guarantees hold
		for _, c := range claims {
			for _, other := range claims {
				ordered = ordered && (c.class.Priority >= other.class.Priority || c.guaranteed*other.requested >= other.guaranteed*c.requested)
			}
		}
		for i, c := range claims {
			if ordered && room >= guaranteed && shares[i]*c.requested < c.guaranteed-1e-6 {
				t.Fatalf("%v of %+v, with room for all guarantees", shares[i], c)
			}
		}
	})
}

// TestUsualRoom: a burst while room is scarce hardly raises what is usual, and a lasting change does.
func TestUsualRoom(t *testing.T) {
	var u usualRoom
	play := func(requests float64, scarce bool, d time.Duration) {
		for range d / (50 * time.Millisecond) {
			u.observe(requests, scarce, 50*time.Millisecond)
		}
	}
	if u.guaranteedShare(1000) != 1 {
		t.Error("a class without history has a guarantee")
	}
	play(100, false, 20*time.Second)
	play(230, true, 10*time.Second)
	if u.requests > 106 {
		t.Errorf("%.0f after a burst, want about 100", u.requests)
	}
	play(230, false, 2*time.Minute)
	if u.requests < 220 {
		t.Errorf("%.0f after a lasting change, want about 230", u.requests)
	}
	u = usualRoom{}
	play(230, true, time.Minute)
	if u.known() {
		t.Error("a successor takes the traffic of a shortage for usual")
	}
}
