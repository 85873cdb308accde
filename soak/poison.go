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

// A request that ends each engine that begins it, repeated beside all other faults.

// poison begins the bodies of such requests.
const poison = "poison"

// Times and bounds of such requests.
const (
	// poisonFor is for how long clients repeat one, each poisonPause.
	poisonFor   = 14 * time.Second
	poisonPause = 250 * time.Millisecond
	poisoners   = 4
	// engineDown is how long an engine is away after it has ended, and entryStays how long
	// its entry is still there.
	engineDown, entryStays = 1500 * time.Millisecond, 1200 * time.Millisecond
	// mostEnds is how many engines may end under one request while all else fails, too.
	mostEnds = 8
	// heldAfter the third end no more than lateAllowed sends may reach engines.
	endsToHold  = 3
	heldAfter   = 3 * time.Second
	lateAllowed = 3
)

// poisonings are the requests that ended engines in a run.
type poisonings struct {
	mu   sync.Mutex
	made int                    // how many there are; guarded by mu
	ends map[string][]time.Time // of engines, by body; guarded by mu
	// inTouch says which tries met an instance in touch; guarded by mu.
	inTouch map[string]bool
}

func newPoisonings() *poisonings {
	return &poisonings{ends: map[string][]time.Time{}, inTouch: map[string]bool{}}
}

// poisonFault has clients repeat a new such request at random instances.
func (r *run) poisonFault(ctx context.Context) fault {
	r.poisons.mu.Lock()
	r.poisons.made++
	body := fmt.Sprintf("%s-%d", poison, r.poisons.made)
	r.poisons.mu.Unlock()
	var work sync.WaitGroup
	seed := r.random.Uint64()
	begin := func() {
		for c := range poisoners {
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			work.Go(func() { r.repeatPoison(ctx, body, c, random) })
		}
	}
	return fault{body + " sent", r.begins(0, begin), r.ends(0, func() {
		work.Wait()
		pause.For(ctx, engineDown)
	})}
}

func (r *run) repeatPoison(ctx context.Context, body string, client int, random *rand.Rand) {
	limit := time.Now().Add(poisonFor)
	for n := 0; time.Now().Before(limit) && pause.For(ctx, poisonPause); n++ {
		t := try{id: fmt.Sprintf("%s-%d-%d", body, client, n), route: "stream", model: models[random.IntN(len(models))], payload: body}
		entry := random.IntN(len(r.entries))
		watch, inTouch := r.watch(entry, engines), r.inTouch(entry, time.Now())
		t.send(r.entryAddress(entry))
		watch.ended(&t)
		r.seen.tried(t)
		r.poisons.mu.Lock()
		r.poisons.inTouch[t.id] = inTouch && t.undisturbed
		r.poisons.mu.Unlock()
	}
}

// stateFile is where an engine that was ended by a request leaves what it has seen.
func (r *run) stateFile(engine, start int) string {
	return filepath.Join(r.logs, fmt.Sprintf("server-%d-start-%d.state", engine, start))
}

// superviseEngine starts an engine again after a request has ended it, until ctx ends.
func (r *run) superviseEngine(ctx context.Context, i int) {
	p, door := r.servers[i], r.doors[i]
	for pause.For(ctx, 20*time.Millisecond) {
		p.mu.Lock()
		over, starts := p.cmd == nil && !p.ending, p.starts
		p.mu.Unlock()
		if !over || !r.noteEnd(i, starts) {
			continue
		}
		door.refuse(true)
		pause.For(ctx, entryStays)
		key := platform.PrefixServers + r.serverID(i, starts-1)
		if obj, err := r.client.Get(ctx, key); err == nil {
			_ = r.client.Delete(ctx, key, obj.Version) // where the store is away the entry stays
		}
		pause.For(ctx, engineDown-entryStays)
		door.refuse(false)
		_ = p.start() // a failed start shows as not coming back
	}
}

// noteEnd takes over what an engine saw that a request has ended, and reports whether one
// has.
func (r *run) noteEnd(engine, starts int) bool {
	text, err := os.ReadFile(r.stateFile(engine, starts-1))
	if err != nil {
		return false
	}
	var state standin.State
	if json.Unmarshal(text, &state) != nil {
		return false
	}
	r.seen.add(fmt.Sprintf("%s start %d", r.servers[engine].name, starts), state)
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.poisons.ends[state.EndedBy] = append(r.poisons.ends[state.EndedBy], time.Now())
	return true
}

// poisonBreaches checks how far each such request reached, and that no other was taken for
// one.
func (r *run) poisonBreaches() []Breach {
	r.poisons.mu.Lock()
	defer r.poisons.mu.Unlock()
	r.seen.mu.Lock()
	defer r.seen.mu.Unlock()
	var found []Breach
	for body, ends := range r.poisons.ends {
		if len(ends) > mostEnds {
			found = append(found, Breach{"a request ends few engines", fmt.Sprintf("%d ended under %s", len(ends), body)})
		}
		if len(ends) < endsToHold {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		if late := r.lateSends(body, ends[endsToHold-1].Add(heldAfter)); late > lateAllowed {
			found = append(found, Breach{"a request that ended engines is held", fmt.Sprintf("%d sends of %s more than %s after the third end", late, body, heldAfter)})
		}
	}
	for _, t := range r.seen.tries {
		if t.status == http.StatusBadRequest && !strings.HasPrefix(t.payload, poison) {
			found = append(found, Breach{"a request that harms nobody is not held", t.id + " was refused for good"})
		}
	}
	return found
}

// lateSends needs both locks. It counts the sends of a request that reached engines after a
// time, by instances in touch.
func (r *run) lateSends(body string, after time.Time) int {
	n := 0
	for _, state := range r.seen.servers {
		for _, a := range state.Arrivals {
			if strings.HasPrefix(a.ID, body+"-") && a.At.After(after) && r.poisons.inTouch[a.ID] {
				n++
			}
		}
	}
	return n
}

// count counts the engines that requests ended.
func (p *poisonings) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, ends := range p.ends {
		n += len(ends)
	}
	return n
}
