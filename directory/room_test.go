package directory

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestAdmitClass: a model's share is the mean over the engines that have it, for the class of the request; everything is
// admitted if the holder is silent, and a holder that does not decide by class is told apart.
func TestAdmitClass(t *testing.T) {
	now := time.Unix(1000, 0)
	urgent, patient := serving.TrafficClass{Objective: time.Second}, serving.TrafficClass{Priority: 2, Objective: 5 * time.Second}
	d := New()
	for id, models := range map[string]map[string][]string{"a": {"m1": nil, "m2": nil}, "b": {"m1": nil}} {
		d.ApplyServer(serving.Server{ID: id, Service: "llm", Models: models}, now)
	}
	// The view of b is newer than its announcement: m3 is loaded, and m4 is being loaded.
	d.ApplyViews(1, []EngineView{{Engine: "b", Units: []UnitView{
		{Unit: serving.Unit{Model: "m1"}}, {Unit: serving.Unit{Model: "m3"}}, {Unit: serving.Unit{Model: "m4"}, Ready: now.Add(time.Second)},
	}}}, nil, now)
	if _, known := d.AdmitClass("m1", urgent, now); known {
		t.Error("a holder that never sent Room decides by class")
	}
	room := Room{Known: true, Classes: []serving.TrafficClass{patient, urgent}, Engines: []EngineRoom{{Engine: "a", Percent: []byte{50}}, {Engine: "gone", Percent: []byte{0, 0}}, {Engine: "b", Percent: []byte{200, 100, 7}}}}
	d.ApplyRoom(room)
	unknown := serving.TrafficClass{Priority: 3, Objective: time.Second}
	for _, c := range []struct {
		model string
		class serving.TrafficClass
		want  float64
	}{
		{"m1", patient, 0.75}, {"m2", patient, 0.5}, {"m3", patient, 1}, {"m4", patient, 1}, {"m1", urgent, 1}, {"m2", unknown, 1}, {"m9", patient, 1},
	} {
		if share, known := d.AdmitClass(c.model, c.class, now); !known || share != c.want {
			t.Errorf("%s %+v: %.2f, %t, want %.2f", c.model, c.class, share, known, c.want)
		}
	}
	room.Classes[1] = serving.OtherClass
	room.Engines[0].Percent = []byte{50, 10}
	d.ApplyRoom(room)
	if share, _ := d.AdmitClass("m2", unknown, now); share != 0.1 {
		t.Errorf("%.2f for a class beyond those that are counted, want .1", share)
	}
	if share, known := d.AdmitClass("m2", patient, now.Add(viewTTL)); !known || share != 1 {
		t.Errorf("%.2f, %t long after the last update, want 1", share, known)
	}
	d.ApplyRoom(Room{})
	if _, known := d.AdmitClass("m2", patient, now); known {
		t.Error("the room of an earlier holder is still in use")
	}
}
