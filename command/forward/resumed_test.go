package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// overloadedSlots is the number of slots of each engine in the tests of this file.
const overloadedSlots = 4

// fakeOrigins holds that all streams began at one version.
type fakeOrigins struct{ origin skew.Origin }

func (fakeOrigins) Versions(string) ([]string, bool)                     { return []string{"v1", "v2"}, true }
func (fakeOrigins) HoldsBack(_, _ string) bool                           { return false }
func (fakeOrigins) MayGiveWay() bool                                     { return true }
func (fakeOrigins) RecordKept(context.Context, string, skew.Origin) bool { return true }
func (fakeOrigins) Record(string, skew.Origin)                           {}
func (o fakeOrigins) Find(context.Context, string, string) OriginAnswer {
	return OriginAnswer{Origin: o.origin}
}

// newOverloadedFixture returns a fixture whose engine e1 of version v1 runs the given number of requests and began all
// streams, beside e2 of version v2. The holder admits no request.
func newOverloadedFixture(t *testing.T, running int) *fixture {
	t.Helper()
	f := newFixture(t, reply{status: 200, events: true, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"})
	f.forwarder.origins = fakeOrigins{skew.Origin{Service: "llm", Version: "v1"}}
	f.dir.Config().Match("h", "/stream/").Priority = 2
	for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
		f.dir.ApplyServer(serving.Server{
			ID: id, Service: "llm", Revision: 2, Version: version, Slots: overloadedSlots, Models: map[string][]string{"warm": nil},
		}, time.Now())
	}
	f.dir.ApplyViews(1, nil, map[string]int{"e1": running}, time.Now())
	f.dir.ApplyAdmissions(map[string]float64{"warm": 0})
	return f
}

// takeUp sends a request that takes a stream up.
func (f *fixture) takeUp(id string) *verdict.Failure {
	r := &serving.Request{
		ID: id, Method: http.MethodPost, Host: "h", Target: "/stream/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"},
		Arrived: time.Now(), Timeout: 5 * time.Second, LastEventID: "1", Resumes: "before",
	}
	return f.forwarder.Serve(context.Background(), r, httptest.NewRecorder())
}

// TestTakenUpStreamRefusedLikeNewOnes guards against streams that cannot go on under overload although the engines of
// their version have room.
func TestTakenUpStreamRefusedLikeNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOverloadedFixture(t, 2*overloadedSlots-1)
		if _, failure := f.serve("stream", "warm", 5*time.Second); failure == nil || failure.Reason != verdict.ReasonQueueFull {
			t.Errorf("new stream: %v, want refused", failure)
		}
		if failure := f.takeUp("r2"); failure != nil {
			t.Fatalf("stream taken up: %v", failure)
		}
		if a := f.servers.attempts; len(a) != 1 || a[0].Server.ID != "e1" || a[0].Urgency != 1 {
			t.Errorf("attempts %+v, want one at e1, before new streams of its class", a)
		}
	})
}

// TestTakenUpStreamHeldWithoutRoom guards against streams that wait for an engine whose queue is long, although another
// version has room.
func TestTakenUpStreamHeldWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOverloadedFixture(t, 2*overloadedSlots)
		start := time.Now()
		failure := f.takeUp("r1")
		if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonQueueFull || time.Since(start) > 0 {
			t.Errorf("%v after %s, want refused at once", failure, time.Since(start))
		}
		if len(f.servers.attempts) != 0 {
			t.Errorf("%d sends", len(f.servers.attempts))
		}
	})
}

// TestTakenUpStreamsCrowdOutNewOnes guards against clients that take streams up again and again.
func TestTakenUpStreamsCrowdOutNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOverloadedFixture(t, 0)
		for i := range 4 * resumedBurst {
			_ = f.takeUp(fmt.Sprint(i))
		}
		if n := len(f.servers.attempts); n != resumedBurst {
			t.Errorf("%d streams taken up are sent while no new one is admitted, want %d", n, resumedBurst)
		}
	})
}

// TestTakenUpStreamsAfterNewOnes guards against streams taken up that are never preferred again after a burst of them.
func TestTakenUpStreamsAfterNewOnes(t *testing.T) {
	c := newResumedCredits()
	for c.spend("llm") {
	}
	for range 3 {
		c.earn("llm")
	}
	taken := 0
	for c.spend("llm") {
		taken++
	}
	if taken != 3 || !c.spend("other") {
		t.Errorf("%d streams after 3 new requests, want 3, and no fewer of another service", taken)
	}
	for range 4 * resumedBurst {
		c.earn("llm")
	}
	for taken = 0; c.spend("llm"); {
		taken++
	}
	if taken != resumedBurst {
		t.Errorf("%d streams after many new requests, want %d", taken, resumedBurst)
	}
}
