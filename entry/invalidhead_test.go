package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestInvalidHeadsAreUnseenByOperators guards against servers whose heads are not valid and of which the metrics of an instance say
// nothing.
func TestInvalidHeadsAreUnseenByOperators(t *testing.T) {
	f := newFleet(t, 1)
	f.configure("safe")
	for _, s := range f.servers {
		s.SetHeadFault(&standin.HeadFault{Name: "blank in a name", Field: "X Own: x"})
	}
	f.await("an invalid head is counted", func() bool {
		f.request(f.instances[0], "safe", "")
		return f.instances[0].set.GetOrCreateCounter("martenport_server_invalid_heads_total").Get() > 0
	})
}

// TestInvalidHeadsAreLogged checks that a line names the server and what is not valid, and that lines are bounded.
func TestInvalidHeadsAreLogged(t *testing.T) {
	var logs bytes.Buffer
	log, set := logrus.New(), metrics.NewSet()
	log.SetOutput(&logs)
	record := countInvalidHeads(set, log)
	for range 3 {
		record(serving.Server{ID: "e1", Address: "10.1.0.9:8080"}, errors.New("status 000"))
	}
	if n := strings.Count(logs.String(), "server sent a response whose head is not valid HTTP"); n != 1 {
		t.Errorf("%d lines, want 1: %s", n, &logs)
	}
	for _, field := range []string{"server=e1", `address="10.1.0.9:8080"`, `error="status 000"`} {
		if !strings.Contains(logs.String(), field) {
			t.Errorf("%s is missing: %s", field, &logs)
		}
	}
	if n := set.GetOrCreateCounter("martenport_server_invalid_heads_total").Get(); n != 3 {
		t.Errorf("%d counted, want 3", n)
	}
}
