package holder

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// TestContendedServices: services are contended as the configuration says.
func TestContendedServices(t *testing.T) {
	config := &serving.Config{Version: 1, Services: map[string]serving.Service{"llm": {Name: "llm", Engine: &serving.EngineSpec{}}, "other": {Name: "other", Engine: &serving.EngineSpec{}}}}
	for _, objective := range []time.Duration{time.Second, 5 * time.Second} {
		config.Routes = append(config.Routes, serving.Route{Objective: objective, Targets: []serving.Target{{Service: "llm", Weight: 1}}})
	}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	if got := contendedServices(config); !got["llm"] || got["other"] {
		t.Errorf("%v, want llm", got)
	}
}

// TestContendedLoadsAreExplained: the log line of a load of a contended service says why it goes when it does, and the
// load is counted. Lines of other loads are as before.
func TestContendedLoadsAreExplained(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	set := metrics.NewSet()
	h := &Holder{log: log, metrics: NewMetrics(set), workers: map[string]*worker{"e": {running: true}}}
	h.startOperation(replicas.Operation{Engine: "e", Order: "deadline", Slack: time.Second, Waited: 2 * time.Second}, "tick")
	h.startOperation(replicas.Operation{Engine: "e"}, "tick")
	entries := hook.AllEntries()
	if got := entries[0].Data; got["order"] != "deadline" || got["slack_ms"] != int64(1000) || got["waiting_ms"] != int64(2000) {
		t.Errorf("%v, want the order, the slack and the wait", logrus.Fields(got))
	}
	if _, explained := entries[1].Data["order"]; explained {
		t.Errorf("%v, want no order", entries[1].Data)
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	if !strings.Contains(text.String(), `martenport_contended_loads_total{order="deadline"} 1`) {
		t.Errorf("metrics lack the load:\n%s", text.String())
	}
}
