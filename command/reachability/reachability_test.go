package reachability

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

var (
	s1    = serving.Server{ID: "s1", Service: "llm"}
	s2    = serving.Server{ID: "s2", Service: "llm"}
	s3    = serving.Server{ID: "s3", Service: "llm"}
	plain = serving.Server{ID: "p1", Service: "plain"}
	start = time.Unix(1000, 0)
)

// TestOneServerDoesNotIsolateService guards against a service that counts as out of reach because one of its servers is down.
func TestOneServerDoesNotIsolateService(t *testing.T) {
	tracker := NewTracker()
	for range 5 {
		tracker.Failed(s1, start)
	}
	if tracker.Reaches(s1) || !tracker.Reaches(s2) || tracker.Isolated("llm") || tracker.Unreached() != 1 {
		t.Errorf("after failures of s1: s1 %t, s2 %t, isolated %t", tracker.Reaches(s1), tracker.Reaches(s2), tracker.Isolated("llm"))
	}
}

// TestSeveralServersIsolateService checks that the instance counts as isolated once several servers of a service failed, until
// one is reached, and that a server that was not tried is still to be tried.
func TestSeveralServersIsolateService(t *testing.T) {
	tracker := NewTracker()
	tracker.Failed(s1, start)
	if c := tracker.Failed(s2, start); !c.Service || !c.Path {
		t.Errorf("change %+v", c)
	}
	if !tracker.Reaches(s3) || !tracker.Isolated("llm") || tracker.Isolated("plain") {
		t.Errorf("s3 %t, isolated %t, from another service %t", tracker.Reaches(s3), tracker.Isolated("llm"), tracker.Isolated("plain"))
	}
	if c := tracker.Connected(s3); !c.Service {
		t.Errorf("change %+v", c)
	}
	if !tracker.Reaches(s3) || tracker.Reaches(s1) || tracker.Isolated("llm") {
		t.Errorf("after a success: s3 %t, s1 %t, isolated %t", tracker.Reaches(s3), tracker.Reaches(s1), tracker.Isolated("llm"))
	}
}

// TestServersOfAllServicesIsolate guards against an instance that reaches nothing and does not know it, since each service has
// one server.
func TestServersOfAllServicesIsolate(t *testing.T) {
	tracker := NewTracker()
	tracker.Failed(s1, start)
	tracker.Failed(plain, start)
	if !tracker.Isolated("llm") || !tracker.Isolated("other") {
		t.Errorf("isolated from llm %t, from another service %t", tracker.Isolated("llm"), tracker.Isolated("other"))
	}
	tracker.Answered(s2)
	if tracker.Isolated("llm") || tracker.Isolated("other") {
		t.Error("isolated after an answer")
	}
}

// TestAnswerOnOpenConnection checks that an answer shows that the service is in reach, and not that new connections to the
// server can be opened.
func TestAnswerOnOpenConnection(t *testing.T) {
	tracker := NewTracker()
	tracker.Failed(s1, start)
	tracker.Answered(s1)
	tracker.Failed(s2, start)
	if tracker.Isolated("llm") || tracker.Reaches(s1) || !tracker.Reaches(s3) {
		t.Errorf("isolated %t, s1 %t, s3 %t", tracker.Isolated("llm"), tracker.Reaches(s1), tracker.Reaches(s3))
	}
}

// TestProbesAreSpaced checks that a server that is out of reach is tried once in each interval.
func TestProbesAreSpaced(t *testing.T) {
	tracker := NewTracker()
	tracker.Failed(s1, start)
	probes := 0
	for at := start; at.Before(start.Add(10 * probeInterval)); at = at.Add(10 * time.Millisecond) {
		if tracker.ProbeDue(s1, at) {
			probes++
		}
	}
	if probes != 9 {
		t.Errorf("%d probes in 10 intervals, want 9", probes)
	}
}

// TestForgottenServerDoesNotCount checks that a server that is gone does not count among those that failed.
func TestForgottenServerDoesNotCount(t *testing.T) {
	tracker := NewTracker()
	tracker.Failed(s1, start)
	tracker.Forget(s1.ID)
	tracker.Failed(s2, start)
	if tracker.Isolated("llm") || tracker.Unreached() != 1 {
		t.Errorf("isolated %t, %d unreached", tracker.Isolated("llm"), tracker.Unreached())
	}
}
