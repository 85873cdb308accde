package soak

import (
	"path/filepath"
	"testing"
)

// TestStreamsAreNotJoinedAfterAllInstancesKilled guards against streams that clients take up after all instances were
// killed and that go on at another software version.
func TestStreamsAreNotJoinedAfterAllInstancesKilled(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(root) // the programs are built from the repository's root
	for _, name := range []string{"replaced-while-down", "killed-after-old-left"} {
		t.Run(name, func(t *testing.T) {
			result, err := RunPlay(t.Context(), Params{Seed: 1, Dir: t.TempDir()}, name)
			if err != nil {
				t.Fatal(err)
			}
			if result.Exposed == 0 {
				t.Errorf("%+v, want streams taken up after the faults", result)
			}
			for _, joined := range result.Joined {
				t.Error(joined)
			}
		})
	}
}
