package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/verdict"
)

// TestNoConfiguration: an instance that knows no configuration yet refuses, and
// does not say that there is no such route.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	f.forwarder.dir = directory.New()
	f.access.dir = f.forwarder.dir
	_, failure := f.serve("safe", "", 0)
	if failure == nil || failure.Reason != verdict.ReasonPlatform || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
		t.Errorf("%+v", failure)
	}
}

// TestNoRoute: an unknown path is a client's fault; no configuration is not.
func TestNoRoute(t *testing.T) {
	f := newFixture(t, reply{status: 200})
	if _, failure := f.serve("nowhere", "", 0); failure == nil || failure.Reason != verdict.ReasonNoRoute {
		t.Errorf("%v, want no route", failure)
	}
	f.forwarder.dir = directory.New()
	f.access.dir = f.forwarder.dir
	if _, failure := f.serve("safe", "", 0); failure == nil || failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 {
		t.Errorf("%v, want a refusal with a time to come back", failure)
	}
}

// TestNoRouteByOldConfiguration: a path that the configuration in force does not have is refused for
// good only while that is certainly the newest. Guards against a 404, after which clients do not come
// again, for a service that a configuration has which the instance has not heard of.
func TestNoRouteByOldConfiguration(t *testing.T) {
	const inForce = 2 * time.Second
	tests := map[string]struct {
		known   access.Knowledge
		policy  access.Policy
		forGood bool
	}{
		"current":                       {access.Knowledge{Age: time.Second}, access.Policy{InForce: inForce}, true},
		"older than one may take":       {access.Knowledge{Age: inForce}, access.Policy{InForce: inForce}, false},
		"a newer one was heard of":      {access.Knowledge{Newer: true}, access.Policy{InForce: inForce}, false},
		"current, no bound":             {access.Knowledge{Age: 2 * time.Second}, access.Policy{}, true},
		"cut off, no bound":             {access.Knowledge{Age: time.Minute}, access.Policy{}, false},
		"nearly as old as one may take": {access.Knowledge{Age: 1900 * time.Millisecond}, access.Policy{InForce: inForce}, false},
	}
	for name, test := range tests {
		f := newFixture(t, reply{status: 200})
		f.access.known, f.access.policy = test.known, test.policy
		_, failure := f.serve("nowhere", "", 0)
		if failure == nil || failure.Verdict != verdict.NotRun {
			t.Fatalf("%s: %v", name, failure)
		}
		if forGood := failure.Reason == verdict.ReasonNoRoute; forGood != test.forGood || forGood == (failure.RetryAfter > 0) {
			t.Errorf("%s: %s, retry after %s; want for good: %v", name, failure.Reason, failure.RetryAfter, test.forGood)
		}
	}
}
