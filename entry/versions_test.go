package entry

import (
	"math/rand/v2"
	"testing"

	"github.com/martenport/martenport/internal/standin"
)

// TestAnswerKeepsVersion guards against streams that break off and go on at another software version within one answer.
func TestAnswerKeepsVersion(t *testing.T) {
	f := newVersionFleet(t, 4, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")
	f.run(400, func() {
		if rand.IntN(10) < 4 {
			f.servers[[]string{"v0", "v1", "v2", "v3", "v4", "v5"}[rand.IntN(6)]].CutStreams(1)
		}
		f.stream(0, 1, nil)
	})
	f.check()
}

// TestTakenUpStreamKeepsVersion guards against streams that clients take up and that go on at another software version.
func TestTakenUpStreamKeepsVersion(t *testing.T) {
	f := newVersionFleet(t, 4, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")
	f.run(400, func() { f.stream(3, 3, nil) })
	f.check()
	if f.complete < f.streams {
		t.Errorf("%d of %d streams are complete", f.complete, f.streams)
	}
}

// TestModelIsLoadedAtVersionOfStream guards against streams that cannot go on because the only copy of their model at
// their software version is gone, although another engine of the version could load it.
func TestModelIsLoadedAtVersionOfStream(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v1.1")
	f.addVersion("v9", "v1", "m2")
	var begun attempt
	f.await("a stream of v1", func() bool {
		begun = attempt{id: newAttemptID(), leaveAfter: 3}
		got := f.send(f.instances[0], begun)
		return len(got.versions) > 0 && got.versions[0] == "v1"
	})
	f.await("the engines known", func() bool { return len(f.instances[1].dir.Servers("llm")) == 3 })
	f.removeServer("v0")
	got := f.send(f.instances[1], attempt{id: newAttemptID(), lastEvent: 3, resumes: begun.id})
	if got.lastID != standin.StreamEvents || got.versions[0] != "v1" {
		t.Errorf("%+v, want the rest at v1", got)
	}
	f.checkServerInvariants()
}
