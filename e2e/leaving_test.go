package e2e

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// leavingCase is what an instance that is stopped has to do with the requests that still come.
type leavingCase struct {
	service string
	args    []string // of the server
	routes  []string
	// learnt is set if a request of each client has been answered before the stop.
	learnt bool
	// kept is set if each client uses its connection again.
	kept bool
	// graceS is the grace period in seconds, and shortenedS that which the settings have from half a second after the stop
	// on; 0 if they do not change.
	graceS, shortenedS int
	// apart is the time between two requests, the first of which comes at the stop.
	apart time.Duration
	// want are ends that some of the requests have.
	want []string
}

// leavingRequests is the number of requests that come after the stop.
const leavingRequests = 14

// TestPlannedStopCutsRequests guards against requests that an instance takes after SIGTERM, sends to a server and drops at
// the end of its grace without an answer.
func TestPlannedStopCutsRequests(t *testing.T) {
	engine := func(work string) []string { return []string{"--model", "m1", "--loaded", "m1", "--work", work} }
	plain := func(work string) []string { return []string{"--work", work} }
	both, streams := []string{"safe", "unsafe"}, []string{"stream", "once"}
	for name, c := range map[string]leavingCase{
		"plain":              {plainService, plain("5500ms"), both, true, false, 8, 0, 400 * time.Millisecond, []string{endAnswered, endRefused}},
		"unknown time":       {plainService, plain("5500ms"), both, false, false, 8, 0, 400 * time.Millisecond, []string{endAnswered, endRefused, endMayHaveRun}},
		"over grace":         {plainService, plain("8500ms"), both, false, false, 8, 0, 200 * time.Millisecond, []string{endMayHaveRun, endRefused}},
		"unsafe":             {plainService, plain("6s"), []string{"unsafe"}, true, false, 8, 0, 150 * time.Millisecond, []string{endAnswered, endRefused}},
		"kept connections":   {plainService, plain("5500ms"), both, true, true, 8, 0, 400 * time.Millisecond, []string{endAnswered, endRefused}},
		"short grace":        {plainService, plain("1200ms"), both, false, false, 2, 0, 100 * time.Millisecond, []string{endAnswered, endMayHaveRun}},
		"shortened grace":    {plainService, plain("3s"), both, false, false, 8, 4, 150 * time.Millisecond, []string{endAnswered, endMayHaveRun}},
		"streams":            {engineService, engine("600ms"), streams, true, false, 8, 0, 400 * time.Millisecond, []string{endAnswered, endRefused}},
		"unknown streams":    {engineService, engine("850ms"), []string{"once"}, false, false, 8, 0, 200 * time.Millisecond, []string{endIncomplete}},
		"streams, kept ones": {engineService, engine("600ms"), streams, true, true, 8, 0, 400 * time.Millisecond, []string{endAnswered, endRefused}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLeaving(t, c)
		})
	}
}

func testLeaving(t *testing.T, c leavingCase) {
	f := newEntryFleet(t)
	f.graceS = c.graceS
	if c.service != engineService {
		f.startServer("engine", engineService, "--model", "m1", "--loaded", "m1")
	}
	f.startServer("s1", c.service, c.args...)
	f.startEntry()
	f.startEntry()
	clients := f.leavingClients(c)
	f.stopInstance(c)
	first, second := f.sendWhileLeaving(c, clients)
	ran := f.state("s1").Runs
	var ends []string
	for n, a := range first {
		end, at := leavingEnd(a, ran[a.id]), time.Duration(n)*c.apart
		ends = append(ends, end)
		if end == endLost || end == endFalselyNotRun {
			t.Errorf("request %d on %s, %s after the stop: %s", n, a.route, at, end)
		}
		if c.learnt && (end == endMayHaveRun || end == endIncomplete) {
			t.Errorf("request %d on %s, %s after the stop: sent to a server although it could not end in time", n, a.route, at)
		}
		if b := second[n]; end == endRefused && (b.status != http.StatusOK || b.text != b.want()) {
			t.Errorf("request %d, refused as not run: status %d %q of the other instance", n, b.status, b.text)
		}
	}
	t.Logf("%v", ends)
	for _, end := range c.want {
		if !slices.Contains(ends, end) {
			t.Errorf("no request: %s", end)
		}
	}
}

// leavingClients returns a client for each request that follows.
func (f *entryFleet) leavingClients(c leavingCase) []*http.Client {
	f.t.Helper()
	clients := make([]*http.Client, leavingRequests)
	var wg sync.WaitGroup
	for n := range clients {
		transport := &http.Transport{DisableKeepAlives: !c.kept}
		f.t.Cleanup(transport.CloseIdleConnections)
		clients[n] = &http.Client{Transport: transport}
		if !c.learnt {
			continue
		}
		wg.Go(func() {
			if a := f.sendWith(clients[n], 0, c.routes[n%len(c.routes)], fmt.Sprintf("learn-%d", n)); a.status != http.StatusOK {
				f.t.Errorf("status %d before the stop", a.status)
			}
		})
	}
	wg.Wait()
	return clients
}

// stopInstance stops the first instance as the platform does: with SIGTERM, and SIGKILL after the grace period.
func (f *entryFleet) stopInstance(c leavingCase) {
	f.t.Helper()
	f.entries[0].signal(syscall.SIGTERM)
	grace := c.graceS
	if c.shortenedS > 0 {
		grace = c.shortenedS
		time.AfterFunc(500*time.Millisecond, func() { f.setGrace(0, c.shortenedS) })
	}
	kill := time.AfterFunc(time.Duration(grace)*time.Second, func() { _ = f.entries[0].cmd.Process.Kill() })
	f.t.Cleanup(func() { kill.Stop() })
}

// setGrace changes the settings of an instance.
func (f *entryFleet) setGrace(instance, seconds int) {
	settings, err := os.ReadFile(f.settings[instance])
	if err != nil {
		f.t.Error(err)
	}
	changed := strings.Replace(string(settings), fmt.Sprintf("graceS = %d", f.graceS), fmt.Sprintf("graceS = %d", seconds), 1)
	if err := os.WriteFile(f.settings[instance], []byte(changed), 0o600); err != nil {
		f.t.Error(err)
	}
	_ = f.entries[instance].cmd.Process.Signal(syscall.SIGHUP)
}

// sendWhileLeaving sends the requests to the instance that is stopped, and those that it refuses to the other one.
func (f *entryFleet) sendWhileLeaving(c leavingCase, clients []*http.Client) (first, second []answer) {
	first, second = make([]answer, leavingRequests), make([]answer, leavingRequests)
	var wg sync.WaitGroup
	for n := range leavingRequests {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * c.apart)
			first[n] = f.sendWith(clients[n], 0, c.routes[n%len(c.routes)], fmt.Sprintf("late-%d", n))
			if first[n].status == http.StatusServiceUnavailable {
				second[n] = f.send(1, first[n].route, fmt.Sprintf("again-%d", n))
			}
		})
	}
	wg.Wait()
	return first, second
}

// Ends of requests according to leavingEnd.
const (
	endAnswered      = "answered"
	endRefused       = "refused"
	endMayHaveRun    = "may have run"
	endIncomplete    = "stream visibly incomplete"
	endNotTaken      = "not taken"
	endFalselyNotRun = "falsely reported as not run"
	endLost          = "run, and cut without an answer"
)

// leavingEnd returns how a request ended that ran the given number of times.
func leavingEnd(a answer, runs int) string {
	switch {
	case a.whole && a.status == http.StatusOK && a.text == a.want():
		return endAnswered
	case a.whole && a.status == http.StatusServiceUnavailable && runs == 0:
		return endRefused
	case a.whole && a.status == http.StatusServiceUnavailable:
		return endFalselyNotRun
	case a.whole && a.status == http.StatusBadGateway:
		return endMayHaveRun
	case !a.whole && a.status == http.StatusOK && isStream(a.route):
		return endIncomplete
	case runs == 0:
		return endNotTaken
	default:
		return endLost
	}
}
