package soak

import (
	"slices"
	"testing"
	"time"
)

// TestClasses checks that requests for engines are counted by class and outcome, and those of other workspaces or
// services are not.
func TestClasses(t *testing.T) {
	var r Result
	for _, req := range []clientRequest{
		{route: "stream", model: "m1", status: 200, complete: true, duration: urgentObjective},
		{route: "once", model: "m1", status: 200, complete: true, duration: urgentObjective + time.Millisecond},
		{route: patientRoute, model: "m1", status: 200, complete: true, duration: patientObjective},
		{route: patientRoute, model: "m1", status: 503},
		{route: patientRoute, model: "m1", status: 200},
		{route: "stream", model: "m1", key: limitedKey, status: 429},
		{route: "safe", status: 503},
	} {
		r.count(req)
	}
	want := []string{
		"patient: 3 requests, 1 on time, 0 late, 1 refused, 1 failed",
		"urgent: 2 requests, 1 on time, 1 late, 0 refused, 0 failed",
	}
	if got := r.Classes(); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
