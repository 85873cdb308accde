package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/platform"
)

// TestRefusalsAreCountedAndLogged checks that operators see requests that are not read, each in a counter, and one of many with the same
// cause in a log line.
func TestRefusalsAreCountedAndLogged(t *testing.T) {
	const refusals = 5
	var out, metricsText bytes.Buffer
	log, set := logrus.New(), metrics.NewSet()
	log.SetOutput(&out)
	record := recordEarlyRefusals(set, log)
	budget := newIntake(1<<20, 0, set, log)
	for range refusals {
		record(platform.EarlyRefusal{Status: http.StatusRequestEntityTooLarge, Reason: "too large", ClientAddress: "127.0.0.1", AnnouncedBytes: 1 << 30})
		h := budget.Begin(func() {})
		if h.Charge(1<<20) == nil {
			t.Fatal("a request that exceeds the memory is not refused")
		}
	}
	set.WritePrometheus(&metricsText)
	for _, want := range []string{`martenport_requests_refused_early_total{status="413"} 5`, `martenport_requests_not_read_total{cause="memory"} 5`} {
		if !strings.Contains(metricsText.String(), want) {
			t.Errorf("no %s in\n%s", want, metricsText.String())
		}
	}
	for _, want := range []string{"request refused before it was passed on", "request is not read any further"} {
		if n := strings.Count(out.String(), want); n != 1 {
			t.Errorf("%d log lines %q, want 1", n, want)
		}
	}
}

// TestConnectionsFitMemory checks that clients' connections fit the part of the memory that they may take on a machine with many
// descriptors, and the sockets on one with few.
func TestConnectionsFitMemory(t *testing.T) {
	for _, c := range []struct{ memoryMB, maxFDs, want int }{
		{144, 10250, 144 << 20 / 4 / intake.ConnBytes}, {536, 600, 240}, {0, 600, 240}, {0, 0, 0},
	} {
		s := &platform.Settings{}
		s.Limits.MemoryMB, s.Limits.MaxFDs = c.memoryMB, c.maxFDs
		if got := maxClientConns(s); got != c.want {
			t.Errorf("%d MB, %d descriptors: %d connections, want %d", c.memoryMB, c.maxFDs, got, c.want)
		}
	}
}
