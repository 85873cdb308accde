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
	"github.com/martenport/martenport/platform"
)

// Poison requests crash each engine that begins to run them. Clients repeat them while other faults go on.

// poison is the prefix of the bodies of poison requests.
const poison = "poison"

// Times and bounds of poison requests.
const (
	// Clients repeat a poison request for poisonDuration, each of them every poisonInterval.
	poisonDuration = 14 * time.Second
	poisonInterval = 250 * time.Millisecond
	poisonClients  = 4
	// engineDowntime is how long a crashed engine stays down, and staleEntryTime how long its entry stays in the
	// store.
	engineDowntime, staleEntryTime = 1500 * time.Millisecond, 1200 * time.Millisecond
	// maxEngineEnds is the maximum number of engines that may crash under one poison request while other faults go
	// on.
	maxEngineEnds = 8
	// From quarantineDelay after the third crash (endsToQuarantine) on, at most maxLateSends sends may reach
	// engines.
	endsToQuarantine = 3
	quarantineDelay  = 3 * time.Second
	maxLateSends     = 3
)

// poisonLog records the poison requests of a run and the engines that they crashed.
type poisonLog struct {
	mu      sync.Mutex
	created int                    // number of poison requests; guarded by mu
	ends    map[string][]time.Time // times at which engines crashed, by body; guarded by mu
	// entryStable says which requests were sent to a stable instance; guarded by mu.
	entryStable map[string]bool
}

func newPoisonLog() *poisonLog {
	return &poisonLog{ends: map[string][]time.Time{}, entryStable: map[string]bool{}}
}

// poisonFault makes clients repeat a new poison request at random instances.
func (r *run) poisonFault(ctx context.Context) fault {
	r.poisons.mu.Lock()
	r.poisons.created++
	body := fmt.Sprintf("%s-%d", poison, r.poisons.created)
	r.poisons.mu.Unlock()
	var wg sync.WaitGroup
	seed := r.random.Uint64()
	begin := func() {
		for c := range poisonClients {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			wg.Go(func() { r.repeatPoison(ctx, body, c, random) })
		}
	}
	return fault{body + " sent", r.beginDisturbance(0, begin), r.endDisturbance(0, func() {
		wg.Wait()
		pause.For(ctx, engineDowntime)
	})}
}

func (r *run) repeatPoison(ctx context.Context, body string, client int, random *rand.Rand) {
	deadline := time.Now().Add(poisonDuration)
	for n := 0; time.Now().Before(deadline) && pause.For(ctx, poisonInterval); n++ {
		req := clientRequest{id: fmt.Sprintf("%s-%d-%d", body, client, n), route: "stream", model: models[random.IntN(len(models))], payload: body}
		entry := random.IntN(len(r.entries))
		observed, entryStable := r.observe(entry, engineService), r.entryStable(entry, time.Now())
		req.send(r.entryAddress(entry))
		observed.finish(&req)
		r.history.addRequest(req)
		r.poisons.mu.Lock()
		r.poisons.entryStable[req.id] = entryStable && req.entryRunning
		r.poisons.mu.Unlock()
	}
}

// stateFile returns the file in which an engine that a request crashes saves its state.
func (r *run) stateFile(engine, start int) string {
	return filepath.Join(r.logs, fmt.Sprintf("server-%d-start-%d.state", engine, start))
}

// superviseEngine restarts an engine after a request has crashed it, until ctx is done.
func (r *run) superviseEngine(ctx context.Context, i int) {
	p, proxy := r.servers[i], r.serverProxies[i]
	for pause.For(ctx, 20*time.Millisecond) {
		p.mu.Lock()
		exited, starts := p.cmd == nil && !p.terminating, p.starts
		p.mu.Unlock()
		if !exited || !r.recordEngineEnd(i, starts) {
			continue
		}
		proxy.setRefusing(true)
		pause.For(ctx, staleEntryTime)
		key := platform.PrefixServers + r.serverID(i, starts-1)
		if obj, err := r.client.Get(ctx, key); err == nil {
			_ = r.client.Delete(ctx, key, obj.Version) // if the store is unavailable the entry stays
		}
		pause.For(ctx, engineDowntime-staleEntryTime)
		proxy.setRefusing(false)
		_ = p.start() // a failed start shows up in the recovery checks
	}
}

// recordEngineEnd adds the state of an engine that a request crashed to the history, and reports whether there is
// such a state.
func (r *run) recordEngineEnd(engine, starts int) bool {
	text, err := os.ReadFile(r.stateFile(engine, starts-1))
	if err != nil {
		return false
	}
	var state standin.State
	if json.Unmarshal(text, &state) != nil {
		return false
	}
	r.history.addServerState(fmt.Sprintf("%s start %d", r.servers[engine].name, starts), state)
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.poisons.ends[state.EndedBy] = append(r.poisons.ends[state.EndedBy], time.Now())
	return true
}

// poisonBreaches checks how many engines each poison request crashed, and that no other request was quarantined.
func (r *run) poisonBreaches() []Breach {
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	var found []Breach
	for body, ends := range r.poisons.ends {
		if len(ends) > maxEngineEnds {
			found = append(found, Breach{"a request ends few engines", fmt.Sprintf("%d ended under %s", len(ends), body)})
		}
		if len(ends) < endsToQuarantine {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		if late := r.lateSends(body, ends[endsToQuarantine-1].Add(quarantineDelay)); late > maxLateSends {
			found = append(found, Breach{"a request that ended engines is held", fmt.Sprintf("%d sends of %s more than %s after the third end", late, body, quarantineDelay)})
		}
	}
	for _, req := range r.history.requests {
		if req.status == http.StatusBadRequest && !strings.HasPrefix(req.payload, poison) {
			found = append(found, Breach{"a request that harms nobody is not held", req.id + " was refused for good"})
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

// count returns the number of engines that requests crashed.
func (p *poisonLog) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, ends := range p.ends {
		n += len(ends)
	}
	return n
}
