package soak

import (
	"path/filepath"
	"testing"
)

// TestPlaysGetEventsThatNoRunMade guards against data of engines in trouble that clients get as a part of their streams.
func TestPlaysGetEventsThatNoRunMade(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(root) // the programs are built from the repository's root
	result, err := RunPlay(t.Context(), Params{Seed: 1, Dir: t.TempDir()}, "garbage")
	if err != nil {
		t.Fatal(err)
	}
	if result.Streams == 0 || result.TakenUp == 0 {
		t.Errorf("%+v, want streams that are taken up", result)
	}
	for _, detail := range append(result.Invalid, result.Joined...) {
		t.Error(detail)
	}
}
