package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestTakenUpStreamKeepsVersionWhileItWaits guards against streams that clients take up and that go on at a software
// version that appears only while they wait for a server.
func TestTakenUpStreamKeepsVersionWhileItWaits(t *testing.T) {
	f := newVersionFleet(t, 2, "v1")
	f.addEngine(standin.ServerParams{ID: "other", Version: "v1", Loaded: []string{"m2"}, Models: map[string]standin.ServerModel{"m1": {MemoryMB: 100, Load: 2 * time.Second}, "m2": {MemoryMB: 100}}})
	f.await("the engines known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return len(r.dir.Servers("llm")) != 2 || !r.marks.certain() })
	})
	begun := attempt{id: newAttemptID(), leaveAfter: 3}
	f.send(f.instances[0], begun)
	f.removeServer("v0")
	f.await("the engine gone", func() bool { return len(f.instances[1].dir.Servers("llm")) == 1 })
	results := make(chan streamResult)
	go func() {
		results <- f.send(f.instances[1], attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
	}()
	time.Sleep(30 * time.Millisecond)
	f.addVersion("new", "v2", "m1")
	if got := <-results; slices.Contains(got.versions, "v2") {
		t.Errorf("%+v, began at v1", got)
	}
}

// TestOnlyVersionOfOthers guards against a stream that goes on at the version that others hold for the only one although
// one of them, or this instance, knows of another.
func TestOnlyVersionOfOthers(t *testing.T) {
	for name, test := range map[string]struct {
		certain, known []string
		want           string
	}{
		"nobody is certain":      {nil, []string{"v1"}, ""},
		"one is certain":         {[]string{"v1"}, nil, "v1"},
		"all agree":              {[]string{"v1", "v1"}, []string{"v1"}, "v1"},
		"this one knows another": {[]string{"v1"}, []string{"v1", "v2"}, ""},
		"one knows another":      {[]string{"v1", "v1", "v2"}, nil, ""},
	} {
		if got := onlyVersion(test.certain, test.known); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// TestStreamOfEngineThatReportsLateGoesOn guards against streams that do not go on since a report of their engine was lost.
func TestStreamOfEngineThatReportsLateGoesOn(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v1.1")
	f.run(8, func() {
		for _, id := range []string{"v0", "v1"} {
			f.servers[id].HoldReports()
		}
		f.stream(3, 2, nil)
	})
	f.check()
	if f.complete < f.streams {
		t.Errorf("%d of %d streams are complete", f.complete, f.streams)
	}
}
