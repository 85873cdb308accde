package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/procstat"
	"github.com/martenport/martenport/internal/standin"
)

// endlessClients is how many requests run at once, and endlessPatience how long a client waits for an answer.
const (
	endlessClients  = 24
	endlessPatience = 800 * time.Millisecond
)

// load is what clients got that send one request after the other.
type load struct {
	mu sync.Mutex
	// whole is the number of whole answers, and ends that of others by how they ended; guarded by mu.
	whole int
	ends  map[string]int
	// routes has the routes of all requests by their ID, and denied those of requests that were answered as not run, or whose
	// connection was closed without an answer; guarded by mu.
	routes, denied map[string]string
	// wrong are answers that look whole and are not those to their requests; guarded by mu.
	wrong []string
	// seals is the number of answers by their seal; guarded by mu.
	seals map[string]int
}

// runLoad sends requests on kept connections for some time, and longer until enough returns true, but for waitLoad at most.
func (f *entryFleet) runLoad(name string, duration time.Duration, enough func() bool) *load {
	const waitLoad = 10 * time.Second
	routes := []string{"safe", "unsafe", "stream", "once"}
	l := &load{ends: map[string]int{}, routes: map[string]string{}, denied: map[string]string{}, seals: map[string]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endlessClients}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	begun := time.Now()
	for c := range endlessClients {
		clients.Go(func() {
			for n := 0; time.Since(begun) < duration || !enough() && time.Since(begun) < waitLoad; n++ {
				l.record(f.sendKept(client, routes[(c+n)%len(routes)], fmt.Sprintf("%s-%d-%d", name, c, n)))
			}
		})
	}
	clients.Wait()
	return l
}

// maxEndlessText bounds what is kept of an answer.
const maxEndlessText = 64 << 10

// sendKept sends a request on a connection of the client.
func (f *entryFleet) sendKept(client *http.Client, route, id string) answer {
	a := answer{route: route, id: id}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.instances[0]+"/"+route+"/x", strings.NewReader(body(id)))
	if err != nil {
		return a
	}
	model := ""
	if isStream(route) {
		model = "m1"
	}
	req.Host, req.Header = clientHost, standin.ClientHeader(id, model, endlessPatience)
	resp, err := client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxEndlessText))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a.status, a.seal, a.text, a.whole = resp.StatusCode, resp.Header.Get("Martenport-Server-Seal"), string(text), err == nil
	return a
}

func (l *load) record(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[a.id] = a.route
	l.seals[a.seal]++
	notRun := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	switch {
	case a.status == 0, a.whole && slices.Contains(notRun, a.status):
		l.denied[a.id] = a.route
	case !a.whole, a.status == http.StatusBadGateway, a.status == http.StatusGatewayTimeout:
	case a.status == http.StatusOK && strings.ReplaceAll(a.text, ": x\n\n", "") == a.want():
		l.whole++
		return
	default:
		l.wrong = append(l.wrong, fmt.Sprintf("%s %s %d %.60q", a.route, a.id, a.status, a.text))
		return
	}
	l.ends[fmt.Sprintf("%s %d whole=%t", a.route, a.status, a.whole)]++
}

// checkRules checks what holds for all requests, whatever a server sends. arrivals is the number of arrivals by request.
func (l *load) checkRules(t *testing.T, arrivals map[string]int) {
	t.Helper()
	if len(l.wrong) > 0 {
		t.Errorf("%d answers are not those to their requests: %.500q", len(l.wrong), l.wrong)
	}
	for id, route := range l.denied {
		if arrivals[id] > 0 {
			t.Errorf("%s %s reached a server and was answered as not run, or not at all", route, id)
		}
	}
	for id, route := range l.routes {
		if n := arrivals[id]; n > 1 && (route == "unsafe" || route == "once") {
			t.Errorf("%s %s reached servers %d times", route, id, n)
		}
	}
}

// arrivalsAt returns the number of arrivals at servers by request.
func arrivalsAt(servers ...*standin.Server) map[string]int {
	arrivals := map[string]int{}
	for _, server := range servers {
		for _, a := range server.State().Arrivals {
			arrivals[a.ID]++
		}
	}
	return arrivals
}

// announceServer starts a server in the process of the test, and announces it until ctx is done.
func (f *entryFleet) announceServer(ctx context.Context, id, service string) *standin.Server {
	f.t.Helper()
	const work, heartbeat = 10 * time.Millisecond, 500 * time.Millisecond
	p := standin.ServerParams{ID: id, Service: service, FailureDomain: "a", Work: work, EventPause: work, MemoryMB: 210, AdapterSlots: 2, Slots: 64}
	if service == engineService {
		p.Models, p.Loaded = map[string]standin.ServerModel{"m1": {MemoryMB: 100, AdapterMB: 1}}, []string{"m1"}
	}
	s, err := standin.NewServer(standin.UniqueLoopbackIP(), p)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Stop)
	go s.Announce(ctx, f.store, heartbeat)
	return s
}

// peakMemoryKB returns the highest resident memory that a process has had.
func (p *process) peakMemoryKB() int {
	p.t.Helper()
	kb, err := procstat.PeakMemoryKB(p.cmd.Process.Pid)
	if err != nil {
		p.t.Fatal(err)
	}
	return kb
}
