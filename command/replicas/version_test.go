package replicas

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestFindVersion guards against streams that cannot go on although an engine of their software version could have the
// model: it is loaded there, whatever other engines have. No load starts that other requests would pay for.
func TestFindVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	f := testFleet(now, testSpec("m1", "m2", "m3", "m4"), []string{"m1", "m2"}, []string{"m1"}, []string{"m2"})
	for id, version := range map[string]string{"a-engine": "v1", "b-engine": "v1", "c-engine": "v2"} {
		f.Engine(id).Server.Version = version
	}
	find := func(model, version string) (Found, bool) {
		return f.FindVersion("llm", serving.Unit{Model: model}, version, waitingOnTime(1), now)
	}
	if found, ok := find("m2", "v2"); !ok || found.Engine != "c-engine" || found.Start != nil {
		t.Errorf("%+v, %v, want the copy of c-engine", found, ok)
	}
	found, ok := find("m1", "v2")
	if !ok || found.Engine != "c-engine" || found.Start == nil || found.Start.Load.Model != "m1" {
		t.Errorf("%+v, %v, want a load on c-engine", found, ok)
	}
	if again, ok := find("m1", "v2"); !ok || again.Engine != "c-engine" || again.Start != nil {
		t.Errorf("%+v, %v, want the same load", again, ok)
	}
	if found, ok := find("m3", "v2"); ok {
		t.Errorf("%+v, want nothing while c-engine is busy", found)
	}
	if found, ok := find("m1", "v3"); ok {
		t.Errorf("%+v for a version without engines", found)
	}
}
