package soak

import (
	"path/filepath"
	"testing"
)

// TestStreamsAreNotJoinedAtInstanceThatIsAlone guards against streams that begin at a new software version and go on at another
// one where an instance that reaches no other takes them up, and against a play in which none is taken up there.
func TestStreamsAreNotJoinedAtInstanceThatIsAlone(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(root) // the programs are built from the repository's root
	result, err := RunPlay(t.Context(), Params{Seed: 1, Dir: t.TempDir()}, "alone-as-second-appears")
	if err != nil {
		t.Fatal(err)
	}
	if result.Newer == 0 {
		t.Errorf("%+v, want streams of the second version taken up at the instance", result)
	}
	for _, joined := range result.Joined {
		t.Error(joined)
	}
}
