package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/platform"
)

// engineStart is how an engine starts: its software version, whether it keeps the ID of its start before, and the models
// that are loaded at the start. A load takes as long as load says; the usual time if 0. With omitsStart the engine does not
// announce its start.
type engineStart struct {
	version    string
	keepsID    bool
	omitsStart bool
	loaded     []string
	load       time.Duration
}

// softwareLog holds how engines start next, and the IDs of all starts of servers.
type softwareLog struct {
	mu   sync.Mutex
	next map[int]engineStart // by engine; guarded by mu
	ids  map[int][]string    // by server and start; guarded by mu
}

func newSoftwareLog() *softwareLog {
	return &softwareLog{next: map[int]engineStart{}, ids: map[int][]string{}}
}

// set sets how an engine starts next.
func (s *softwareLog) set(engine int, next engineStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next[engine] = next
}

// begin returns the ID of a start of a server and how it starts. Later starts have the same version, but IDs of their own
// and nothing loaded.
func (s *softwareLog) begin(server, start int) (id string, how engineStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	how = s.next[server]
	s.next[server] = engineStart{version: how.version, omitsStart: how.omitsStart, load: how.load}
	id = fmt.Sprintf("server-%d-%d", server, start)
	if how.keepsID && start > 0 {
		id = s.ids[server][start-1]
	}
	s.ids[server] = append(s.ids[server][:start], id)
	return id, how
}

// id returns the ID of a start of a server.
func (s *softwareLog) id(server, start int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[server][start]
}

// setFirstStarts sets how the engines start first: with two software versions, or with one if the seed is a multiple of
// oneVersionSeeds, and with two models loaded.
func (r *run) setFirstStarts() {
	for i := range r.params.Engines {
		version := 1
		if r.params.Seed%oneVersionSeeds != 0 {
			version += i % 2
		}
		r.software.set(i, engineStart{version: fmt.Sprintf("v%d", version), loaded: firstModels(i)})
	}
}

// oneVersionSeeds is how often engines have one software version at the start: with one of so many seeds.
const oneVersionSeeds = 4

// firstModels returns the models that an engine has loaded at its first start.
func firstModels(engine int) []string {
	return []string{models[engine%len(models)], models[(engine+1)%len(models)]}
}

// removeEngine ends an engine and removes its entry.
func (r *run) removeEngine(ctx context.Context, engine int) {
	r.endEngine(engine)
	r.removeServerEntry(ctx, engine)
}

// endEngine ends an engine. Its entry stays.
func (r *run) endEngine(engine int) {
	r.collectState(engine)
	r.servers[engine].stop(syscall.SIGKILL, time.Second)
}

// removeServerEntry removes the entry of a server's last start. If the store is unavailable the entry stays.
func (r *run) removeServerEntry(ctx context.Context, server int) {
	r.servers[server].mu.Lock()
	starts := r.servers[server].starts
	r.servers[server].mu.Unlock()
	key := platform.PrefixServers + r.software.id(server, starts-1)
	if obj, err := r.client.Get(ctx, key); err == nil {
		_ = r.client.Delete(ctx, key, obj.Version)
	}
}

// replaceEngine ends an engine and starts one of another software version at its address.
func (r *run) replaceEngine(ctx context.Context, engine int, next engineStart) {
	r.endEngine(engine)
	if !next.keepsID {
		r.removeServerEntry(ctx, engine)
	}
	r.software.set(engine, next)
	_ = r.servers[engine].start() // a failed start shows up in the recovery checks
}
