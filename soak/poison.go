package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// A poison request crashes each engine that begins to run it. Clients repeat it while other faults are in progress. The
// entry instances must quarantine it, so that it crashes only a few engines.

// poison is the prefix of the bodies of poison requests.
const poison = "poison"

// Times and bounds of poison requests.
const (
	// Each of poisonClients clients repeats a poison request every poisonInterval for poisonDuration.
	poisonDuration = 14 * time.Second
	poisonInterval = 250 * time.Millisecond
	poisonClients  = 4
	// engineDowntime is how long a crashed engine stays down, and staleEntryTime how long its entry stays in the
	// store after the crash.
	engineDowntime, staleEntryTime = 1500 * time.Millisecond, 1200 * time.Millisecond
	// maxCrashes is the maximum number of engine crashes due to one poison request while other faults are in
	// progress.
	maxCrashes = 8
	// Later than quarantineDelay after its third crash (crashesToQuarantine), at most maxLateSends sends of a poison
	// request may reach engines.
	crashesToQuarantine = 3
	quarantineDelay     = 3 * time.Second
	maxLateSends        = 3
)

// poisonLog records the poison requests of a run and the engines that they crashed.
type poisonLog struct {
	mu      sync.Mutex
	created int                    // number of poison requests; guarded by mu
	crashes map[string][]time.Time // times at which engines crashed, by body; guarded by mu
	// entryStable says, by request ID, whether the request was sent to a stable instance (see entryStable of run) that
	// was running; guarded by mu.
	entryStable map[string]bool
}

func newPoisonLog() *poisonLog {
	return &poisonLog{crashes: map[string][]time.Time{}, entryStable: map[string]bool{}}
}

// poisonFault returns a fault in which clients repeat a new poison request at random instances.
func (r *run) poisonFault(ctx context.Context) fault {
	return r.harmfulFault(ctx, poison, r.repeatPoison)
}

// harmfulFault returns a fault in which clients send requests that crash engines, each with send. Their cause begins with
// prefix and is new.
func (r *run) harmfulFault(ctx context.Context, prefix string, send func(ctx context.Context, cause string, client int, random *rand.Rand)) fault {
	r.poisons.mu.Lock()
	r.poisons.created++
	cause := fmt.Sprintf("%s-%d", prefix, r.poisons.created)
	r.poisons.mu.Unlock()
	var wg sync.WaitGroup
	seed := r.random.Uint64()
	begin := func() {
		for c := range poisonClients {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			wg.Go(func() { send(ctx, cause, c, random) })
		}
	}
	return fault{cause + " sent", r.beginDisturbance(0, begin), r.endDisturbance(0, func() {
		wg.Wait()
		pause.For(ctx, engineDowntime)
	})}
}

// repeatPoison is one client that repeats a poison request, and records its sends in the history. Every second poison
// request has no body.
func (r *run) repeatPoison(ctx context.Context, body string, client int, random *rand.Rand) {
	deadline := time.Now().Add(poisonDuration)
	withoutBody := body[len(body)-1]%2 == 1
	for n := 0; time.Now().Before(deadline) && pause.For(ctx, poisonInterval); n++ {
		r.sendHarmful(clientRequest{id: fmt.Sprintf("%s-%d-%d", body, client, n), route: "stream", model: models[random.IntN(len(models))], payload: body, withoutBody: withoutBody}, random)
	}
}

// sendHarmful sends a request that crashes engines to a random instance, and records it.
func (r *run) sendHarmful(req clientRequest, random *rand.Rand) {
	entry := random.IntN(len(r.entries))
	observed, entryStable := r.observe(entry, engineService), r.entryStable(entry, time.Now())
	req.send(r.entryAddress(entry))
	observed.finish(&req)
	r.history.addRequest(req)
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.poisons.entryStable[req.id] = entryStable && req.entryRunning
}

// stateFile returns the file in which a server saves its state when a request or rejections end it.
func (r *run) stateFile(server, start int) string {
	return filepath.Join(r.logs, fmt.Sprintf("server-%d-start-%d.state", server, start))
}

// superviseServer restarts a server after a request or rejections have ended it, until ctx is done.
func (r *run) superviseServer(ctx context.Context, i int) {
	p, proxy := r.servers[i], r.serverProxies[i]
	for pause.For(ctx, 20*time.Millisecond) {
		p.mu.Lock()
		exited, starts := p.cmd == nil && !p.terminating, p.starts
		p.mu.Unlock()
		if !exited || !r.recordCrash(i, starts) {
			continue
		}
		proxy.setRefusing(true)
		pause.For(ctx, staleEntryTime)
		r.removeServerEntry(ctx, i)
		pause.For(ctx, engineDowntime-staleEntryTime)
		proxy.setRefusing(false)
		_ = p.start() // a failed start shows up in the recovery checks
	}
}

// recordCrash adds the state of a server that a request or rejections ended to the history, and reports whether there is
// such a state.
func (r *run) recordCrash(server, starts int) bool {
	data, err := os.ReadFile(r.stateFile(server, starts-1))
	if err != nil {
		return false
	}
	var state standin.State
	if json.Unmarshal(data, &state) != nil {
		return false
	}
	r.history.addServerState(fmt.Sprintf("%s start %d", r.servers[server].name, starts), state)
	if state.EndedByRejections {
		r.brittle.recordEnd(r.serverService(server))
		return true
	}
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.poisons.crashes[state.EndedBy] = append(r.poisons.crashes[state.EndedBy], time.Now())
	return true
}

// poisonViolations checks how many engines each poison request crashed, and that no other request was quarantined.
func (r *run) poisonViolations() []Violation {
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	var found []Violation
	for body, crashes := range r.poisons.crashes {
		known := crashesToQuarantine
		if strings.HasPrefix(body, deadly) {
			known = crashesToKnowPart
		} else if len(crashes) > maxCrashes {
			found = append(found, Violation{"a request ends few engines", fmt.Sprintf("%d ended under %s", len(crashes), body)})
		}
		if len(crashes) < known {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		if late := r.lateSends(body, crashes[known-1].Add(quarantineDelay)); late > maxLateSends {
			found = append(found, Violation{"a request that ended engines is held", fmt.Sprintf("%d sends of %s more than %s after end %d", late, body, quarantineDelay, known)})
		}
	}
	for _, req := range r.history.requests {
		if req.status == http.StatusBadRequest && !req.isHarmful() {
			found = append(found, Violation{"a request that harms nobody is not held", req.id + " was refused for good"})
		}
	}
	return found
}

// lateSends counts the sends of a poison request by stable instances that reached engines after the given time.
// r.poisons.mu and r.history.mu must be held.
func (r *run) lateSends(body string, after time.Time) int {
	n := 0
	for _, state := range r.history.servers {
		for _, a := range state.Arrivals {
			if strings.HasPrefix(a.ID, body+"-") && a.At.After(after) && r.poisons.entryStable[a.ID] {
				n++
			}
		}
	}
	return n
}

// count returns the number of crashes of engines due to poison requests.
func (p *poisonLog) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, crashes := range p.crashes {
		n += len(crashes)
	}
	return n
}
