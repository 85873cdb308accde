package holder

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/command/balance"
)

// TestSpeedsReported: the operator sees how many engines are slow or fast, and gets a log line at most once per
// speedLogInterval, and only if that has changed.
func TestSpeedsReported(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	m, r, now := NewMetrics(metrics.NewSet()), &speedReporter{}, time.Now()
	r.report(nil, m, log, now)
	speeds := []balance.EngineSpeed{{Engine: "a", Speed: 0.5}, {Engine: "b", Speed: 0.4}, {Engine: "c", Speed: 1.5}}
	for i := range 10 {
		r.report(speeds[:1+i%3], m, log, now.Add(time.Duration(i)*time.Second))
	}
	r.report(speeds, m, log, now.Add(speedLogInterval))
	r.report(speeds, m, log, now.Add(3*speedLogInterval))
	if n := len(hook.AllEntries()); n != 2 {
		t.Errorf("%d log lines, want 2", n)
	}
	want := logrus.Fields{"slow": 2, "fast": 1, "server": "b", "speed": 0.4}
	for k, v := range want {
		if got := hook.LastEntry().Data[k]; got != v {
			t.Errorf("%s=%v, want %v", k, got, v)
		}
	}
	if m.slowEngines.Get() != 2 || m.fastEngines.Get() != 1 {
		t.Errorf("%v slow, %v fast", m.slowEngines.Get(), m.fastEngines.Get())
	}
}
