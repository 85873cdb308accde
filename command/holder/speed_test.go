package holder

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/standin"
)

// speedReport returns a report of an instance with samples of three engines, of which "slow" takes twice as long.
func speedReport(name string, born int64) Report {
	r := Report{Name: name}
	for engine, micros := range map[string]float64{"a": 5000, "b": 5000, "slow": 10000} {
		r.Speeds = append(r.Speeds, balance.SpeedSample{Engine: engine, Born: born, Model: "m", EventMicros: micros})
	}
	return r
}

// TestSpeedsShared: every instance is told of an engine that is slow according to the samples of all, although each has
// sent too few to know, some reports are lost, and one instance tells the contrary again and again.
func TestSpeedsShared(t *testing.T) {
	h, now := newTestHolder("a", standin.NewPlatform(), &fakeEngine{}, time.Millisecond), time.Now()
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		now = now.Add(300 * time.Millisecond)
		if i%3 == 0 {
			continue // lost
		}
		if _, err := h.Exchange(speedReport(fmt.Sprint(i), 1), now); err != nil {
			t.Fatal(err)
		}
		if i%4 == 0 {
			liar := Report{Name: "liar"}
			for range 500 {
				liar.Speeds = append(liar.Speeds, balance.SpeedSample{Engine: "slow", Born: 1, Model: "m", EventMicros: 1}, balance.SpeedSample{Engine: "a", Born: 1, Model: "m", EventMicros: 9e6})
			}
			if _, err := h.Exchange(liar, now); err != nil {
				t.Fatal(err)
			}
		}
	}
	update, err := h.Exchange(Report{Name: "other"}, now.Add(2*time.Second))
	if err != nil || len(update.Speeds) != 1 || update.Speeds[0].Engine != "slow" || math.Abs(update.Speeds[0].Speed-0.5) > 0.05 {
		t.Errorf("%v, %+v, want slow at half speed", err, update.Speeds)
	}
	if _, err := h.Exchange(speedReport("x", 2), now.Add(3*time.Second)); err != nil { // all engines have started anew
		t.Fatal(err)
	}
	if update, _ := h.Exchange(Report{Name: "other"}, now.Add(5*time.Second)); len(update.Speeds) != 0 {
		t.Errorf("%+v known of new processes", update.Speeds)
	}
}
