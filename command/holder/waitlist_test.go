package holder

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestWaitlistExchange: a request that one instance refused is due at another one, is listed once
// although it is reported twice, and lowers the share of newcomers.
func TestWaitlistExchange(t *testing.T) {
	platform := standin.NewPlatform()
	h := newTestHolder("a", platform, &fakeEngine{}, time.Millisecond, "m")
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	exchange := func(name string, r waitlist.Report) waitlist.Update {
		now = now.Add(200 * time.Millisecond)
		arrivals := []Arrivals{{Model: "m", Arrivals: replicas.Arrivals{Count: 20, Deferrable: 20, Served: 10}}}
		reply, err := h.Exchange(Report{Name: name, Arrivals: arrivals, Waitlist: r}, now)
		if err != nil {
			t.Fatal(err)
		}
		return reply.Waitlist
	}
	class := serving.TrafficClass{Priority: 1, Objective: 5 * time.Second}
	refused := waitlist.Report{Refused: []waitlist.Refused{{Request: 7, Model: "m", Class: class}}}
	exchange("a", refused)
	exchange("a", refused) // the reply was lost
	due := exchange("b", waitlist.Report{})
	for range 5 {
		due = exchange("b", waitlist.Report{})
	}
	h.mu.Lock()
	listed := h.refused.list.Counts().Listed
	if len(due.Due) != 1 || due.Due[0] != 7 || len(due.Queues) != 1 || listed != 1 {
		t.Errorf("%+v, listed %d times; want request 7 due and listed once", due, listed)
	}
	if share := h.lessBooked(map[string]float64{"m": 0.9}, now)["m"]; share >= 0.9 || share <= 0 {
		t.Errorf("share of newcomers %.2f while a request is due", share)
	}
	h.mu.Unlock()
	if all, held := h.Waitlist(now); !held || len(all) != 1 || all[0].Due != 1 {
		t.Errorf("%+v for operators", all)
	}
	if _, held := newTestHolder("b", platform, &fakeEngine{}, time.Millisecond, "m").Waitlist(now); held {
		t.Error("an instance without the lease answers")
	}
}
