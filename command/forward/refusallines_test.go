package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/verdict"
)

// logged returns the lines of single requests since the last call, and the number of requests that have none.
func logged(hook *logtest.Hook) (single []*logrus.Entry, omitted int) {
	for _, e := range hook.AllEntries() {
		if n, isSummary := e.Data["requests"].(int); isSummary && e.Message == "refusals not logged one by one" {
			omitted += n
		} else if e.Data["request"] != nil {
			single = append(single, e)
		}
	}
	hook.Reset()
	return single, omitted
}

// TestRefusalLinesBounded: of many refusals that are alike some are logged one by one, and the others are counted in a
// line that comes although nothing else happens. Other kinds of refusals and answered requests are not affected.
func TestRefusalLinesBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
		log, hook := logtest.NewNullLogger()
		f.forwarder.log = log
		f.dir.Config().Match("h", "/stream/").Priority = 1
		f.dir.ApplyViews(1, nil, nil, time.Now())
		f.dir.ApplyAdmissions(map[string]float64{"warm": 0})
		const requests = 100
		for range requests {
			if _, failure := f.serve("stream", "warm", 5*time.Second); failure == nil {
				t.Fatal("not refused")
			}
		}
		if _, failure := f.serve("nowhere", "", 5*time.Second); failure == nil {
			t.Fatal("served without a route")
		}
		for range requests {
			if _, failure := f.serve("safe", "", 5*time.Second); failure != nil {
				t.Fatal(failure)
			}
		}
		single, omitted := logged(hook)
		if want := refusalLinesPerWindow + 1 + requests; len(single) != want || omitted != 0 {
			t.Errorf("%d lines and %d left out at first, want %d and 0", len(single), omitted, want)
		}
		if e := single[0]; e.Data["reason"] != verdict.ReasonQueueFull || e.Data["retry_after_ms"] != overloadRetryAfter.Milliseconds() {
			t.Errorf("%v lacks what explains the refusal", e.Data)
		}
		time.Sleep(refusalLinesWindow)
		synctest.Wait()
		if single, omitted = logged(hook); len(single) != 0 || omitted != requests-refusalLinesPerWindow {
			t.Errorf("%d lines and %d left out after the window, want %d left out", len(single), omitted, requests-refusalLinesPerWindow)
		}
		time.Sleep(refusalLinesWindow)
		if _, failure := f.serve("stream", "warm", 5*time.Second); failure == nil {
			t.Fatal("not refused")
		}
		if single, omitted = logged(hook); len(single) != 1 || omitted != 0 {
			t.Errorf("%d lines and %d left out in the next window, want 1 and 0", len(single), omitted)
		}
	})
}

// TestRefusalLinesFlushed: an instance that stops within a window logs what it has left out.
func TestRefusalLinesFlushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{})
		log, hook := logtest.NewNullLogger()
		f.forwarder.log = log
		for range refusalLinesPerWindow + 3 {
			_, _ = f.serve("nowhere", "", time.Second)
		}
		f.forwarder.FlushLog()
		if single, omitted := logged(hook); len(single) != refusalLinesPerWindow || omitted != 3 {
			t.Errorf("%d lines, %d left out, want 3", len(single), omitted)
		}
	})
}

// TestFailuresLoggedOneByOne: a request that has reached a server has a line of its own, however many fail.
func TestFailuresLoggedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, reply{status: 503, notExecuted: true})
		log, hook := logtest.NewNullLogger()
		f.forwarder.log = log
		const requests = 3 * refusalLinesPerWindow
		for range requests {
			_, _ = f.serve("unsafe", "", time.Second)
		}
		n := 0
		for _, e := range hook.AllEntries() {
			if e.Data["retry_after_ms"] != nil {
				n++
			}
		}
		if n != requests {
			t.Errorf("%d of %d requests have a line", n, requests)
		}
	})
}
