package entry

import (
	"math/rand/v2"
	"testing"
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
