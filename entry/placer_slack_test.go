package entry

import (
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// TestWaitingRequestsAreReportedBySlack checks that the report has the weight of the waiting requests by slack, and that
// priorities out of any range neither hide a request nor make a weight infinite.
func TestWaitingRequestsAreReportedBySlack(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	now := time.Now()
	unit := serving.Unit{Model: "m"}
	register := func(priority int, slack, left time.Duration) func() {
		return f.RegisterWait(unit, priority, now.Add(slack), now.Add(left))
	}
	register(0, 100*time.Millisecond, time.Second)
	patient := register(2, 4*time.Second, 15*time.Second)
	register(2, 3*time.Second, 9*time.Second)
	register(1, -time.Second, 2*time.Second)
	slack := f.waitingFor("m", now).Slack
	if len(slack) != 3 || slack[0].Start != -time.Second || slack[1].Weight != serving.Weight(0) || slack[2].Start != 3*time.Second || slack[2].Left != 15*time.Second {
		t.Errorf("%+v, want the late request, the urgent one, and the patient ones together", slack)
	}
	patient()
	if slack = f.waitingFor("m", now).Slack; slack[2].Left != 9*time.Second {
		t.Errorf("%+v, want a request gone that no longer waits", slack)
	}
	for _, priority := range []int{math.MinInt64, math.MaxInt64} {
		stop := register(priority, time.Minute, time.Minute)
		waiting := f.waitingFor("m", now)
		if w := waiting.Slack[len(waiting.Slack)-1].Weight; !(w > 0) || math.IsInf(w, 1) || math.IsInf(waiting.OnTime, 1) {
			t.Errorf("priority %d: weight %v", priority, w)
		}
		stop()
	}
}
