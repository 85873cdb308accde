package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// The services: two plain ones, and that of the engines.
const (
	plain   = "plain"
	side    = "side"
	engines = "llm"
)

var services = []string{plain, side, engines}

// keptRoutes are those of clients that keep connections: mostly the side service's,
// so that the requests of a herd do not raise what the plain service may repeat.
var keptRoutes = []string{"keep", "keep", "keep", "add", "add", "add", "safe", "once"}

// Idle limits of configurations, and the times of routes.
const (
	shortIdle, middleIdle, longIdle = 500 * time.Millisecond, 3 * time.Second, 15 * time.Second
	// shortestTimeout and routeTimeout bound the routes' times.
	shortestTimeout, middleTimeout, routeTimeout = 2 * time.Second, 3 * time.Second, 4 * time.Second
)

// settings are what changes with each configuration.
type settings struct {
	mu      sync.Mutex
	random  *rand.Rand    // guarded by mu
	version int64         // guarded by mu
	idle    time.Duration // of the last configuration written; guarded by mu
}

// idleLimit is what clients that have just been answered know.
func (r *run) idleLimit() time.Duration {
	r.settings.mu.Lock()
	defer r.settings.mu.Unlock()
	return r.settings.idle
}

func (r *run) version() int64 {
	r.settings.mu.Lock()
	defer r.settings.mu.Unlock()
	return r.settings.version
}

// configure writes the next configuration, with an idle limit drawn from the seed.
func (r *run) configure(ctx context.Context) error {
	r.settings.mu.Lock()
	limits := []time.Duration{shortIdle, middleIdle, longIdle, longIdle}
	idle := limits[r.settings.random.IntN(len(limits))]
	r.settings.mu.Unlock()
	return r.configureIdle(ctx, idle)
}

// configureIdle writes the next configuration: the lasting routes with other times,
// and one that only this version has, to the services by turns.
func (r *run) configureIdle(ctx context.Context, idle time.Duration) error {
	r.settings.mu.Lock()
	defer r.settings.mu.Unlock()
	r.settings.version++
	c := standin.Config{
		Version: r.settings.version, Plain: []string{plain, side}, Engines: engines, Models: map[string]standin.ServerModel{}, MemoryMB: 210, AdapterSlots: 2,
		RemoteLoad: 500 * time.Millisecond, LoadsPerSecond: 3, IdleTimeout: idle,
		Workspaces: workspaces(r.settings.version),
	}
	for _, m := range models {
		c.Models[m] = standin.ServerModel{MemoryMB: 100, Load: 200 * time.Millisecond}
	}
	times := []time.Duration{shortestTimeout, middleTimeout, routeTimeout}
	for _, route := range routes(c.Version) {
		route.Host, route.Timeout, route.Objective, route.Attempts = "h.example", times[r.settings.random.IntN(len(times))], time.Second, 2
		c.Routes = append(c.Routes, route)
	}
	if err := c.Write(ctx, r.client); err != nil {
		return err
	}
	r.seen.accepted(c.Version, time.Now())
	r.settings.idle = idle
	return nil
}

// routes are those of a version.
func routes(version int64) []standin.Route {
	return []standin.Route{
		{Name: "unsafe", Kind: standin.UnsafeRoute, Service: plain}, {Name: "safe", Kind: standin.SafeRoute, Service: plain},
		{Name: "add", Kind: standin.UnsafeRoute, Service: side}, {Name: "keep", Kind: standin.SafeRoute, Service: side},
		{Name: "stream", Kind: standin.StreamRoute, Service: engines, Resumable: true}, {Name: "once", Kind: standin.StreamRoute, Service: engines},
		{Name: versionRoute(version), Kind: standin.SafeRoute, Service: serviceOf(versionRoute(version))},
	}
}

func versionRoute(version int64) string { return "v" + strconv.FormatInt(version, 10) }

// serviceOf is the service to which a route leads.
func serviceOf(route string) string {
	switch route {
	case "unsafe", "safe":
		return plain
	case "add", "keep":
		return side
	case "stream", "once":
		return engines
	}
	if version, err := strconv.ParseInt(strings.TrimPrefix(route, "v"), 10, 64); err == nil && version%2 == 0 {
		return side
	}
	return plain
}

// runsOnce reports whether a route's requests may run at most once.
func runsOnce(route string) bool { return route == "unsafe" || route == "add" || route == "once" }
