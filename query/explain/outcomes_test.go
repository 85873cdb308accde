package explain

import (
	"math"
	"strings"
	"testing"
)

const endedLog = `time="2026-04-07T22:21:01Z" level=info msg="request answered" request=r1 priority=0 objective_ms=300 first_ms=80 ms=900 waited_ms=0 status=200
time="2026-04-07T22:21:01Z" level=info msg="request answered" request=r2 priority=0 objective_ms=300 first_ms=700 ms=900 waited_ms=600 waited_for=disk status=200
time="2026-04-07T22:21:01Z" level=info msg="request answered" request=r3 priority=0 objective_ms=300 first_ms=700 ms=900 waited_ms=20 waited_for=adapter status=200
time="2026-04-07T22:21:01Z" level=info msg="request answered" request=r4 priority=1 objective_ms=300 ms=40 waited_ms=0 status=500
time="2026-04-07T22:21:01Z" level=info msg="sending once more: server i-1 has not run it: status 421" request=r5
time="2026-04-07T22:21:02Z" level=info msg="request not answered: m takes 9s to load, longer than the 2s left" request=r5 priority=0 objective_ms=300 ms=3 waited_ms=0 waited_for=copies_in_use verdict=NotRun reason=deadline
time="2026-04-07T22:21:02Z" level=info msg="request not answered: server i-1: context canceled" request=r6 priority=0 ms=3 verdict=MayHaveRun reason=cancelled
time="2026-04-07T22:21:02Z" level=info msg="request not answered: the stream broke off" request=r7 priority=0 ms=3 verdict=MayHaveRun reason=broken
time="2026-04-07T22:21:02Z" level=info msg="request refused: no route of configuration 3" request=r8 reason=no_route
`

// TestOutcomes checks that each request is counted once, by its outcome and cause, and that the
// shares add up to 1.
func TestOutcomes(t *testing.T) {
	lines, err := ParseLog(strings.NewReader(endedLog), "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	share, weightShare := 0.0, 0.0
	for _, g := range Outcomes(lines) {
		got[strings.TrimSpace(string(g.Outcome)+" "+g.Cause)] += g.Requests
		share += g.Share
		weightShare += g.WeightShare
	}
	want := map[string]int{
		"on_time": 1, "late disk": 1, "late engine": 1, "failed status 500": 1, "refused copies_in_use": 1, "left cancelled": 1, "failed broken": 1,
		"refused no_route": 1,
	}
	for k, n := range want {
		if got[k] != n {
			t.Errorf("%s: %d requests, want %d", k, got[k], n)
		}
	}
	if len(got) != len(want) || math.Abs(share-1) > 1e-9 || math.Abs(weightShare-1) > 1e-9 {
		t.Errorf("%v, shares add up to %v and %v", got, share, weightShare)
	}
}

const omittedLog = `time="2026-04-07T22:21:02Z" level=info msg="request not answered: much is asked of m" request=r1 priority=1 ms=3 verdict=NotRun reason=queue_full
time="2026-04-07T22:21:03Z" level=info msg="refusals not logged one by one" priority=1 reason=queue_full requests=41 verdict=NotRun
time="2026-04-07T22:21:03Z" level=info msg="refusals not logged one by one" priority=0 reason=deadline requests=5 verdict=NotRun waited_for=disk
`

// TestOutcomesOmittedLines checks that refusals without a line of their own are counted with those that have one.
func TestOutcomesOmittedLines(t *testing.T) {
	lines, err := ParseLog(strings.NewReader(omittedLog), "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	groups := Outcomes(lines)
	if len(groups) != 2 || groups[0].Requests != 5 || groups[0].Cause != "disk" || groups[1].Requests != 42 || groups[1].Outcome != Refused {
		t.Fatalf("%+v, want 5 refused for disk and 42 for queue_full", groups)
	}
	if share := groups[0].Share + groups[1].Share; math.Abs(share-1) > 1e-9 {
		t.Errorf("shares add up to %v", share)
	}
}
