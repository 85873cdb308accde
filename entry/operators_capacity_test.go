package entry

import (
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// TestGetCapacity checks that each instance shows the holder's figures, and that an instance says so while no holder
// answers, until there is a successor.
func TestGetCapacity(t *testing.T) {
	f := newFleetWith(t, 2, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	h := f.holder()
	class := serving.TrafficClass{Priority: 3, Objective: 5 * time.Second}
	report := holder.Report{
		Name:     "reporter",
		Traffic:  []replicas.ClassTraffic{{Service: "llm", Model: "m4", Class: class, Arrived: 50, Refused: 50}},
		Waitlist: waitlist.Report{Refused: []waitlist.Refused{{Request: 7, Model: "m4", Class: class}}},
	}
	get := func(r *running) (*martenportv1.GetCapacityResponse, error) {
		answer, err := operatorsOf(r).GetCapacity(t.Context(), connect.NewRequest(&martenportv1.GetCapacityRequest{}))
		if err != nil {
			return nil, err
		}
		return answer.Msg, nil
	}
	for _, r := range f.instances {
		var c *martenportv1.GetCapacityResponse
		f.await("the figures at "+r.address, func() bool {
			// Demand is forgotten if it is not reported again.
			if _, err := h.holder.Exchange(report, clock.Now()); err != nil {
				t.Fatal(err)
			}
			var err error
			c, err = get(r)
			return err == nil && len(c.Classes) == 1 && c.Classes[0].Requested > 0 && len(c.ShortModels) == 1 && len(c.Waitlist) == 1
		})
		if k := c.Classes[0]; c.Holder != h.follower.name || k.Service != "llm" || k.Priority != 3 || k.ObjectiveMs != 5000 {
			t.Errorf("%+v of %s", k, c.Holder)
		}
		if m, q := c.ShortModels[0], c.Waitlist[0]; m.Model != "m4" || m.Copies >= m.Wanted || q.Model != "m4" || q.Listed != 1 || q.Priority != 3 {
			t.Errorf("%+v, %+v", m, q)
		}
	}
	other := f.instances[0]
	if other == h {
		other = f.instances[1]
	}
	h.kill()
	f.await("an error while no holder answers", func() bool {
		_, err := get(other)
		return connect.CodeOf(err) == connect.CodeUnavailable
	})
	f.await("the figures of the successor", func() bool {
		c, err := get(other)
		return err == nil && c.Holder == other.follower.name
	})
}
