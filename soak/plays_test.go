package soak

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestReleaseReplacesEnginesBesideKill guards against releases that do not follow from the seed, or in which instances
// stay down or no engine is replaced.
func TestReleaseReplacesEnginesBesideKill(t *testing.T) {
	kept, amid := 0, 0
	for seed := range uint64(50) {
		draw := func() release { return drawRelease(rand.New(rand.NewPCG(seed, releaseStream)), "v3", 4) }
		rel := draw()
		if !reflect.DeepEqual(rel, draw()) {
			t.Fatalf("seed %d: drawn differently again", seed)
		}
		n := len(rel.engines)
		if n < 2 || rel.killBefore > rel.startAfter || rel.startAfter > n {
			t.Errorf("seed %d: %+v", seed, rel)
		}
		if rel.startAfter > rel.killBefore {
			amid++
		}
		for _, keeps := range rel.keepsID {
			if keeps {
				kept++
			}
		}
	}
	if kept == 0 || amid == 0 {
		t.Errorf("%d engines keep their IDs, %d releases while the instances are down, want some of each", kept, amid)
	}
}

// TestIDOfStart guards against starts of engines that share an ID unasked, or get another version on their own.
func TestIDOfStart(t *testing.T) {
	s := newSoftwareLog()
	s.set(0, engineStart{version: "v1", loaded: []string{"m1"}})
	first, _ := s.begin(0, 0)
	second, how := s.begin(0, 1)
	if first == second || how.version != "v1" || how.loaded != nil {
		t.Errorf("IDs %s and %s, then %+v", first, second, how)
	}
	s.set(0, engineStart{version: "v2", keepsID: true})
	if third, how := s.begin(0, 2); third != second || how.version != "v2" || s.id(0, 2) != second {
		t.Errorf("ID %s after %s, %+v", third, second, how)
	}
	if fourth, how := s.begin(0, 3); fourth == second || how.version != "v2" {
		t.Errorf("ID %s after %s, %+v", fourth, second, how)
	}
}

// TestStreamCanBeTakenUp guards against clients that take up streams that are complete or already joined, or give up those
// whose last attempt was refused.
func TestStreamCanBeTakenUp(t *testing.T) {
	part := clientRequest{route: "stream", status: 200, body: "id: 1\ndata: m1\n\n", versions: []string{"v1"}}
	for name, c := range map[string]struct {
		change func(*clientRequest)
		want   bool
	}{
		"a part":             {func(*clientRequest) {}, true},
		"nothing":            {func(r *clientRequest) { r.body = "" }, false},
		"complete":           {func(r *clientRequest) { r.complete = true }, false},
		"another route":      {func(r *clientRequest) { r.route = "once" }, false},
		"two versions":       {func(r *clientRequest) { r.versions = []string{"v1", "v2"} }, false},
		"a refused take-up":  {func(r *clientRequest) { r.lastEvent, r.status, r.body, r.complete = 3, 503, "no\n\n", true }, true},
		"a lost take-up":     {func(r *clientRequest) { r.lastEvent, r.status, r.body = 3, 0, "" }, true},
		"all events, broken": {func(r *clientRequest) { r.lastEvent = 9 }, false},
	} {
		req := part
		c.change(&req)
		if got := req.canBeTakenUp(); got != c.want {
			t.Errorf("%s: can be taken up: %v, want %v", name, got, c.want)
		}
	}
}
