package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/waitlist"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// TestRefuseInOrder: a request for which there is no room is refused with the time of its turn, and admitted when it
// returns then, once. Without a holder, without a list, for other requests and where callers are equally patient, the
// refusal is the same as without a list.
func TestRefuseInOrder(t *testing.T) {
	const print, other = serving.Fingerprint("00000000000000010000000000000000"), serving.Fingerprint("00000000000000020000000000000000")
	class := serving.TrafficClass{Priority: 1, Objective: 4 * time.Second}
	queue := waitlist.Queue{Model: "warm", Class: class, Wait: 400 * time.Millisecond, Each: 10 * time.Millisecond}
	for name, c := range map[string]struct {
		contended   bool
		update      *waitlist.Update
		fingerprint serving.Fingerprint
		admitted    bool
		least, most time.Duration
	}{
		"its turn":            {true, &waitlist.Update{Due: []uint64{1}}, print, true, 0, 0},
		"another's turn":      {true, &waitlist.Update{Due: []uint64{1}, Queues: []waitlist.Queue{queue}}, other, false, 400 * time.Millisecond, time.Second},
		"no fingerprint":      {true, &waitlist.Update{Due: []uint64{0, 1}, Queues: []waitlist.Queue{queue}}, "", false, 400 * time.Millisecond, time.Second},
		"turn too late":       {true, &waitlist.Update{Queues: []waitlist.Queue{{Model: "warm", Class: class, Wait: time.Minute}}}, print, false, overloadRetryAfter, overloadRetryAfter},
		"no holder":           {true, nil, print, false, overloadRetryAfter, overloadRetryAfter},
		"callers are equal":   {false, &waitlist.Update{Due: []uint64{1}, Queues: []waitlist.Queue{queue}}, print, false, overloadRetryAfter, overloadRetryAfter},
		"older holder's news": {true, &waitlist.Update{}, print, false, overloadRetryAfter, overloadRetryAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents}, reply{status: 200, events: true, body: threeEvents})
			route := f.dir.Config().Match("h", "/stream/")
			route.Priority, route.Objective = class.Priority, class.Objective
			if !c.contended {
				f.dir.Config().Match("h", "/once/").Objective = class.Objective
			}
			if err := f.dir.Config().Index(); err != nil {
				t.Fatal(err)
			}
			f.dir.ApplyViews(1, nil, nil, time.Now())
			f.dir.ApplyAdmissions(map[string]float64{"warm": 0})
			desk := waitlist.NewDesk()
			f.forwarder.waitlist = desk
			if c.update != nil {
				desk.Apply(*c.update, time.Now())
			}
			failure := f.serveFingerprint("stream", "warm", c.fingerprint)
			if admitted := failure == nil; admitted != c.admitted {
				t.Fatalf("%s: %v", name, failure)
			}
			if failure == nil {
				failure = f.serveFingerprint("stream", "warm", c.fingerprint)
				if failure == nil || len(desk.Report(time.Now()).Begun) != 1 {
					t.Errorf("%s: want the second one refused, and one reported as begun", name)
				}
				return
			}
			if failure.RetryAfter < c.least || failure.RetryAfter > c.most {
				t.Errorf("%s: Retry-After %s, want %s to %s", name, failure.RetryAfter, c.least, c.most)
			}
		})
	}
}

// serveFingerprint sends a request with a fingerprint.
func (f *fixture) serveFingerprint(route, model string, print serving.Fingerprint) *verdict.Failure {
	r := &serving.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x", Header: http.Header{}, Unit: serving.Unit{Model: model},
		Arrived: time.Now(), Timeout: 5 * time.Second, Fingerprint: print,
	}
	return f.forwarder.Serve(context.Background(), r, httptest.NewRecorder())
}
