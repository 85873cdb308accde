package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/verdict"
)

// TestNoConfiguration: an instance that has no configuration yet refuses requests temporarily and
// does not claim that there is no such route.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	f.forwarder.dir = directory.New()
	f.access.dir = f.forwarder.dir
	_, failure := f.serve("safe", "", 0)
	if failure == nil || failure.Reason != verdict.ReasonPlatform || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
		t.Errorf("%+v", failure)
	}
}

// TestNoRoute: an unknown path is the client's error; a missing configuration is not.
func TestNoRoute(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	if _, failure := f.serve("nowhere", "", 0); failure == nil || failure.Reason != verdict.ReasonNoRoute {
		t.Errorf("%v, want no route", failure)
	}
	f.forwarder.dir = directory.New()
	f.access.dir = f.forwarder.dir
	if _, failure := f.serve("safe", "", 0); failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
		t.Errorf("%v, want a refusal with a Retry-After", failure)
	}
}

// TestNoRouteWithOutdatedConfiguration: a path that is not in the configuration in force is refused
// permanently only while that configuration is known to be the newest. Guards against a 404, after
// which clients do not retry, for a service that is in a newer configuration that the instance has
// not received yet.
func TestNoRouteWithOutdatedConfiguration(t *testing.T) {
	const propagationBound = 2 * time.Second
	tests := map[string]struct {
		known     access.Freshness
		policy    access.Policy
		permanent bool
	}{
		"current":                       {access.Freshness{Age: time.Second}, access.Policy{PropagationBound: propagationBound}, true},
		"older than one may take":       {access.Freshness{Age: propagationBound}, access.Policy{PropagationBound: propagationBound}, false},
		"a newer one was heard of":      {access.Freshness{NewerExists: true}, access.Policy{PropagationBound: propagationBound}, false},
		"current, no bound":             {access.Freshness{Age: 2 * time.Second}, access.Policy{}, true},
		"cut off, no bound":             {access.Freshness{Age: time.Minute}, access.Policy{}, false},
		"nearly as old as one may take": {access.Freshness{Age: 1900 * time.Millisecond}, access.Policy{PropagationBound: propagationBound}, false},
	}
	for name, test := range tests {
		f := newFixture(t, reply{status: 200})
		f.access.known, f.access.policy = test.known, test.policy
		_, failure := f.serve("nowhere", "", 0)
		if failure == nil || failure.Verdict != verdict.NotRun {
			t.Fatalf("%s: %v", name, failure)
		}
		if permanent := failure.Reason == verdict.ReasonNoRoute; permanent != test.permanent || permanent == (failure.RetryAfter > 0) {
			t.Errorf("%s: %s, retry after %s; want permanent: %v", name, failure.Reason, failure.RetryAfter, test.permanent)
		}
	}
}
