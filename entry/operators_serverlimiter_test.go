package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestOperatorsSeeBackpressure checks that the backpressure that engines report is shown in the status and the
// metrics.
func TestOperatorsSeeBackpressure(t *testing.T) {
	f := newFleetWith(t, 1, Options{OperatorsPort: testOperatorsPort})
	r := f.instances[0]
	f.await("a holder", func() bool { return f.holder() != nil })
	// The holder may read the state of the engine meanwhile.
	f.servers["e1"].SetBackpressure(standin.Backpressure{Limit: "1.5", Leaving: true})
	now := clock.Now()
	r.limiter.observe(serving.Advisory{Server: "e1", SentAt: now, ReceivedAt: now, Limited: true, Rate: 1.5, Leaving: true})
	r.limiter.observe(serving.Advisory{Server: "e2", SentAt: now, ReceivedAt: now, RetryAfter: time.Minute})
	status, err := operatorsOf(r).GetStatus(t.Context(), connect.NewRequest(&martenportv1.GetStatusRequest{}))
	if err != nil || len(status.Msg.Engines) != 2 {
		t.Fatalf("%v, %v", status, err)
	}
	e1, e2 := status.Msg.Engines[0], status.Msg.Engines[1]
	if !e1.Limited || e1.Limit != 1.5 || !e1.Leaving || e1.RestingSeconds != 0 {
		t.Errorf("%v: want a limit of 1.5, and leaving", e1)
	}
	if e2.Limited || e2.Leaving || e2.RestingSeconds < 30 {
		t.Errorf("%v: want a rest of one minute", e2)
	}
	var text bytes.Buffer
	r.set.WritePrometheus(&text)
	for _, line := range []string{"martenport_servers_limited 1\n", "martenport_servers_resting 1\n", "martenport_servers_leaving 1\n"} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("the metrics lack %q", line)
		}
	}
}
