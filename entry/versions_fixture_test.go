package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// versionFleet is a fleet whose engines have software of different versions. All engines have the model m1.
type versionFleet struct {
	*fleet
	mu sync.Mutex
	// streams, mixed and complete count streams, those with events of two versions, and those that their clients
	// received whole; guarded by mu.
	streams, mixed, complete int
	// begun of beginnings attempts began a stream, and wentOn of takenUp attempts went on with one; guarded by mu.
	begun, beginnings, wentOn, takenUp int
	// refused are the attempts that brought no event; guarded by mu.
	refused []refusedAttempt
	lines   *syncBuffer // of the instances' logs
}

// refusedAttempt is an attempt that brought no event.
type refusedAttempt struct {
	attempt  attempt
	instance string
	got      streamResult
}

// newVersionFleet starts instances, and an engine for each of the versions.
func newVersionFleet(t *testing.T, instances int, versions ...string) *versionFleet {
	t.Helper()
	lines := &syncBuffer{}
	f := &versionFleet{fleet: (&fleet{t: t, logOutput: lines}).start(instances), lines: lines}
	f.begin(versions...)
	return f
}

// begin replaces the engines by one for each of the versions.
func (f *versionFleet) begin(versions ...string) {
	f.t.Helper()
	f.configure("stream", "once", "unsafe", "safe")
	for i, v := range versions {
		f.addVersion(fmt.Sprintf("v%d", i), v, "m1")
	}
	f.removeServer("e1")
	f.removeServer("e2")
	f.await("the first engines gone", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			_, first := r.dir.Server("e1")
			_, second := r.dir.Server("e2")
			return first || second
		})
	})
	f.awaitServers(len(versions))
	f.await("a holder", func() bool { return f.holder() != nil })
}

// addVersion starts an engine with software of a version, and one model.
func (f *versionFleet) addVersion(id, version, model string) {
	f.addEngine(standin.ServerParams{ID: id, Version: version, Loaded: []string{model}})
}

// addEngine starts an engine with the given parameters, and others that are the same for all.
func (f *versionFleet) addEngine(p standin.ServerParams) {
	p.Service, p.FailureDomain, p.EventPause, p.MemoryMB, p.AdapterSlots = "llm", "a", 5*time.Millisecond, testMemoryMB, testAdapterSlots
	if p.Models == nil {
		p.Models = testModels
	}
	s, err := standin.NewServer("127.0.0.1", p)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stopAnnouncing := context.WithCancel(context.Background())
	f.t.Cleanup(stopAnnouncing)
	f.t.Cleanup(s.Stop)
	f.servers[p.ID], f.stopAnnouncing[p.ID] = s, stopAnnouncing
	go s.Announce(ctx, f.store, testHeartbeat)
}

// removeServer ends a server and removes its entry.
func (f *versionFleet) removeServer(id string) {
	f.servers[id].Stop()
	f.stopAnnouncing[id]()
	f.await("entry of "+id+" removed", func() bool {
		obj, err := f.store.Get(f.t.Context(), platform.PrefixServers+id)
		return err == nil && f.store.Delete(f.t.Context(), platform.PrefixServers+id, obj.Version) == nil
	})
}

// awaitServers waits until all instances know exactly n engines, all of which have the model m1.
func (f *versionFleet) awaitServers(n int) {
	f.t.Helper()
	f.await("engines known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			known := r.dir.Replicas("llm", serving.Unit{Model: "m1"}, time.Now())
			return len(known) != n || len(r.dir.Servers("llm")) != n
		})
	})
}

// attempt is one attempt of a client to begin a stream or to take it up.
type attempt struct {
	id string
	// lastEvent and resumes are the last event that the client has, and the attempt that brought its first event; 0
	// and "" for an attempt that begins a stream.
	lastEvent int
	resumes   string
	// leaveAfter is the number of events after which the client closes the connection; 0 for never.
	leaveAfter int
}

// newAttemptID returns an ID for an attempt.
func newAttemptID() string { return fmt.Sprintf("try-%d", attemptsIssued.Add(1)) }

// streamResult is what a client received in one attempt.
type streamResult struct {
	status   int
	versions []string // of the events, in order
	lastID   int
	// failure is what the client received instead of a stream.
	failure string
}

// send sends an attempt to an instance and reads the events until the stream ends or the client leaves.
func (f *versionFleet) send(r *running, a attempt) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/stream/x", strings.NewReader("body"))
	if err != nil {
		f.t.Error(err)
		return streamResult{}
	}
	req.Host = "h.example"
	req.Header = standin.ClientHeader(a.id, "m1", 10*time.Second)
	if a.lastEvent > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(a.lastEvent))
	}
	if a.resumes != "" {
		req.Header.Set("Resumes", a.resumes)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return streamResult{lastID: a.lastEvent, failure: err.Error()}
	}
	defer resp.Body.Close()
	got := streamResult{status: resp.StatusCode, lastID: a.lastEvent}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body) // a part is enough
		got.failure = fmt.Sprintf("Retry-After %q: %s", resp.Header.Get("Retry-After"), body)
		return got
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var id int
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &id); err == nil {
			if id != got.lastID+1 {
				f.t.Errorf("event %d after %d", id, got.lastID)
			}
			got.lastID = id
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: m1 "); found {
			got.versions = append(got.versions, data)
		}
		if n := len(got.versions); n > 0 && n == a.leaveAfter {
			return got
		}
	}
	return got
}

// stream has a client receive a stream: it leaves after leaveAfter events (0 for never) and takes the stream up again
// at another attempt, as well as after each broken connection, up to maxAttempts. between is called before that.
func (f *versionFleet) stream(leaveAfter, maxAttempts int, between func()) {
	first := ""
	var versions []string
	last := 0
	for n := range maxAttempts {
		a := attempt{id: newAttemptID(), lastEvent: last, resumes: first}
		if n == 0 {
			a.leaveAfter = leaveAfter
		} else if between != nil {
			between()
		}
		r := f.randomInstance()
		got := f.send(r, a)
		if first == "" && len(got.versions) > 0 {
			first = a.id
		}
		versions, last = append(versions, got.versions...), got.lastID
		f.mu.Lock()
		if a.resumes == "" {
			f.beginnings++
			if len(got.versions) > 0 {
				f.begun++
			}
		} else {
			f.takenUp++
			if len(got.versions) > 0 {
				f.wentOn++
			}
		}
		if len(got.versions) == 0 {
			f.refused = append(f.refused, refusedAttempt{attempt: a, instance: r.follower.name, got: got})
		}
		f.mu.Unlock()
		if last >= standin.StreamEvents {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams++
	if len(slices.Compact(versions)) > 1 {
		f.mixed++
	}
	if last >= standin.StreamEvents {
		f.complete++
	}
}

func (f *versionFleet) randomInstance() *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[rand.IntN(len(f.instances))]
}

// run runs client n times, a few at a time.
func (f *versionFleet) run(n int, client func()) {
	var work sync.WaitGroup
	next := make(chan struct{})
	for range 8 {
		work.Go(func() {
			for range next {
				client()
			}
		})
	}
	for range n {
		next <- struct{}{}
	}
	close(next)
	work.Wait()
}

// logRefused logs the attempts that brought no event, and what the instances logged of their streams.
func (f *versionFleet) logRefused() {
	f.t.Helper()
	logged := strings.Split(f.lines.String(), "\n")
	for _, r := range f.refused {
		f.t.Logf("%+v at %s: %+v", r.attempt, r.instance, r.got)
		for _, line := range logged {
			fields := strings.Fields(line)
			if slices.Contains(fields, "request="+r.attempt.id) || slices.Contains(fields, "request="+r.attempt.resumes) {
				f.t.Log(line)
			}
		}
	}
}

// check checks that no stream has events of two versions, and that streams go on at least half as often as they begin.
func (f *versionFleet) check() {
	f.t.Helper()
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.logRefused()
		}
	})
	f.t.Logf("%d streams, %d complete, %d of two versions; %d of %d began, %d of %d went on", f.streams, f.complete, f.mixed, f.begun, f.beginnings, f.wentOn, f.takenUp)
	if f.mixed > 0 {
		f.t.Errorf("%d of %d streams have events of two software versions", f.mixed, f.streams)
	}
	if 2*f.wentOn*f.beginnings < f.begun*f.takenUp {
		f.t.Errorf("%d of %d streams that were taken up go on, %d of %d began", f.wentOn, f.takenUp, f.begun, f.beginnings)
	}
}
