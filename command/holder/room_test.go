package holder

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestRoomInReply: a holder decides by class once instances report traffic by class, and exports the room while it holds
// the lease. Reports without it, of older instances or of services that are not contended, leave the reply as it was.
func TestRoomInReply(t *testing.T) {
	h := newTestHolder("a", standin.NewPlatform(), &recordingEngine{fakeEngine: fakeEngine{models: map[string][]string{}}}, time.Second, "m1")
	set := metrics.NewSet()
	h.metrics = NewMetrics(set)
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	exchange := func(traffic []replicas.ClassTraffic) Update {
		now = now.Add(time.Second)
		update, err := h.Exchange(Report{Name: "x", Traffic: traffic}, now)
		if err != nil {
			t.Fatal(err)
		}
		return update
	}
	if update := exchange(nil); update.Room.Known {
		t.Errorf("%+v without traffic by class", update.Room)
	}
	class := serving.TrafficClass{Priority: 1, Objective: time.Second}
	if update := exchange([]replicas.ClassTraffic{{Service: "llm", Model: "m1", Class: class, Arrived: 5, Refused: 5}}); !update.Room.Known {
		t.Errorf("%+v with traffic by class", update.Room)
	}
	export := func() string {
		var text strings.Builder
		set.WritePrometheus(&text)
		return text.String()
	}
	const name = `martenport_class_requests{service="llm",priority="1",objective_ms="1000",kind="offered"}`
	if text := export(); !strings.Contains(text, name) || !strings.Contains(text, "martenport_models_short_of_copies") {
		t.Errorf("metrics lack %q:\n%s", name, text)
	}
	h.dropRoom()
	if text := export(); strings.Contains(text, "martenport_class_") || strings.Contains(text, "short_of_copies") {
		t.Errorf("room exported without the lease:\n%s", text)
	}
}
