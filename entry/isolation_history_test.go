package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// historyRequest is a request of an isolation history and its answer.
type historyRequest struct {
	route string
	answer
}

// isolationHistory plays cuts of the paths from instances to servers, which overlap and change, while clients send requests.
type isolationHistory struct {
	*loadFleet
	random *rand.Rand

	mu       sync.Mutex
	requests []historyRequest // guarded by mu
}

// Durations of a history.
const (
	historyLength = 12 * time.Second
	// historyRecovery is the time without faults after which all requests have to be served again.
	historyRecovery = 6 * time.Second
)

// historyRoutes are the routes of the requests and the models that they need.
var historyRoutes = map[string]string{"stream": "m1", "once": "m1", "unsafe": "", "safe": ""}

// TestIsolationHistory plays histories of random cuts, of some or all instances and in all ways, and of pauses of servers. What
// callers are told has to be true throughout, and everything is served once the paths are back. MARTENPORT_SEED and
// MARTENPORT_ROUNDS choose the histories.
func TestIsolationHistory(t *testing.T) {
	seed, rounds := uint64(1), 1
	if n, err := strconv.ParseUint(os.Getenv("MARTENPORT_SEED"), 10, 64); err == nil {
		seed = n
	}
	if n, err := strconv.Atoi(os.Getenv("MARTENPORT_ROUNDS")); err == nil {
		rounds = n
	}
	for round := range rounds {
		t.Run(fmt.Sprint("seed=", seed+uint64(round)), func(t *testing.T) { playIsolationHistory(t, seed+uint64(round)) })
	}
}

func playIsolationHistory(t *testing.T, seed uint64) {
	h := &isolationHistory{loadFleet: newIsolationFleet(t), random: rand.New(rand.NewPCG(seed, 1))}
	h.addServer("p2", "plain", nil)
	h.configure("stream", "once", "unsafe", "safe")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for route, model := range historyRoutes {
		for c := range 3 {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			clients.Go(func() { h.sendUntil(stop, random, route, model) })
		}
	}
	for begun := time.Now(); time.Since(begun) < historyLength; {
		t.Log(h.disturb())
		time.Sleep(time.Duration(200+h.random.IntN(1200)) * time.Millisecond)
	}
	h.breakPaths(notCut, h.instances...)
	time.Sleep(historyRecovery)
	close(stop)
	clients.Wait()
	h.check()
}

// disturb breaks or restores the paths of some instances, or pauses a server, and returns what it did.
func (h *isolationHistory) disturb() string {
	if h.random.IntN(5) == 0 {
		ids := []string{"e1", "e2", "e3", "p1", "p2"}
		id, length := ids[h.random.IntN(len(ids))], time.Duration(700+h.random.IntN(800))*time.Millisecond
		h.servers[id].Pause(length)
		return fmt.Sprintf("%s pauses for %s", id, length)
	}
	c := cut(h.random.IntN(4))
	some := slices.Clone(h.instances)
	h.random.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	some = some[:1+h.random.IntN(len(some))]
	h.breakPaths(c, some...)
	return fmt.Sprintf("%d instances: cut %d", len(some), c)
}

// sendUntil sends requests for a route to random instances until stop is closed.
func (h *isolationHistory) sendUntil(stop <-chan struct{}, random *rand.Rand, route, model string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+random.IntN(100)) * time.Millisecond):
		}
		a := h.request(h.instances[random.IntN(len(h.instances))], route, model)
		h.mu.Lock()
		h.requests = append(h.requests, historyRequest{route: route, answer: a})
		h.mu.Unlock()
	}
}

// check checks what the clients were told against what the servers ran, and that everything is served at the end.
func (h *isolationHistory) check() {
	served := map[string]int{}
	for _, r := range h.requests {
		runs := h.runs(r.id)
		once := r.route == "unsafe" || r.route == "once"
		switch {
		case once && runs > 1:
			h.t.Errorf("%s %s ran %d times", r.route, r.id, runs)
		case r.err == nil && r.status == http.StatusServiceUnavailable && runs > 0:
			h.t.Errorf("%s %s was answered with 503 and ran", r.route, r.id)
		case r.err == nil && r.status == http.StatusOK && historyRoutes[r.route] != "" && r.body != wholeStream(historyRoutes[r.route]):
			h.t.Errorf("%s %s: the stream is not whole: %q", r.route, r.id, r.body)
		case r.err == nil && r.status == http.StatusOK:
			served[r.route]++
		}
	}
	h.t.Logf("%d requests, served by route: %v", len(h.requests), served)
	for _, r := range h.instances {
		for route, model := range historyRoutes {
			if a := h.request(r, route, model); a.err != nil || a.status != http.StatusOK {
				h.t.Errorf("after the paths are back: %s at %s: %+v", route, r.address, a)
			}
		}
		if records := r.quarantine.ledger.List(time.Now()); len(records) > 0 {
			h.t.Logf("%s: %d requests count as the cause of an end", r.address, len(records))
		}
	}
	h.checkServerInvariants()
}
