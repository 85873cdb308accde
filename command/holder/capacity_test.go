package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestCapacity: the holder describes classes, short models and queues in bounded lists with the longest queue first,
// and other instances say that they do not hold the lease.
func TestCapacity(t *testing.T) {
	const queues, models = 10, MaxCapacityRows + 5
	var names []string
	for i := range models {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	h := newTestHolder("a", standin.NewPlatform(), &fakeEngine{}, time.Second, names...)
	now := clock.Now()
	if _, held := h.Capacity(now); held {
		t.Error("an instance without the lease answers")
	}
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	class := serving.TrafficClass{Priority: 1, Objective: time.Second}
	r := Report{Name: "x"}
	for i, name := range names {
		r.Traffic = append(r.Traffic, replicas.ClassTraffic{Service: "llm", Model: name, Class: class, Arrived: 50, Refused: 50})
		if i < queues {
			r.Waitlist.Refused = append(r.Waitlist.Refused, waitlist.Refused{Request: uint64(1 + i), Model: name, Class: class})
		}
	}
	longest := names[queues-1]
	r.Waitlist.Refused = append(r.Waitlist.Refused, waitlist.Refused{Request: 1000, Model: longest, Class: class})
	if _, err := h.Exchange(r, now); err != nil {
		t.Fatal(err)
	}
	c, held := h.Capacity(now.Add(2 * time.Second))
	if !held || len(c.Classes) != 1 || c.Classes[0].Class != class || c.Classes[0].Requested <= 0 {
		t.Errorf("held %v, classes %+v; want one class with demand", held, c.Classes)
	}
	if len(c.ShortModels) != MaxCapacityRows || c.ShortModelsTotal != models || c.ShortModels[0].Copies >= c.ShortModels[0].Wanted {
		t.Errorf("%d of %d short models, want %d of %d", len(c.ShortModels), c.ShortModelsTotal, MaxCapacityRows, models)
	}
	if len(c.Waitlist) != queues || c.WaitlistTotal != queues {
		t.Fatalf("%d of %d queues, want %d", len(c.Waitlist), c.WaitlistTotal, queues)
	}
	if q := c.Waitlist[0]; q.Model != longest || q.Listed != 2 || q.Oldest < 2*time.Second {
		t.Errorf("%+v, want the longest queue first", q)
	}
}
