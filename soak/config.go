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

// The services: mainService and sideService, whose servers load no models, and that of the engines.
const (
	mainService   = "plain"
	sideService   = "side"
	engineService = "llm"
)

var services = []string{mainService, sideService, engineService}

// keepAliveRoutes are the routes of clients that reuse connections. Most belong to sideService: the number of repeated
// sends allowed to a service grows with its requests, and bursts of these clients must not raise that of mainService.
var keepAliveRoutes = []string{"keep", "keep", "keep", "add", "add", "add", "safe", "once"}

// Idle timeouts of configurations, and timeouts of routes.
const (
	shortIdle, middleIdle, longIdle = 500 * time.Millisecond, 3 * time.Second, 15 * time.Second
	// The timeouts of routes.
	shortestTimeout, middleTimeout, longestTimeout = 2 * time.Second, 3 * time.Second, 4 * time.Second
)

// configState holds what changes with each configuration.
type configState struct {
	mu          sync.Mutex
	random      *rand.Rand    // guarded by mu
	version     int64         // guarded by mu
	idleTimeout time.Duration // of the last configuration written; guarded by mu
}

// idleTimeout returns the idle timeout of the last configuration written.
func (r *run) idleTimeout() time.Duration {
	r.config.mu.Lock()
	defer r.config.mu.Unlock()
	return r.config.idleTimeout
}

func (r *run) version() int64 {
	r.config.mu.Lock()
	defer r.config.mu.Unlock()
	return r.config.version
}

// writeConfig writes the next configuration, with an idle timeout drawn from the seed.
func (r *run) writeConfig(ctx context.Context) error {
	r.config.mu.Lock()
	choices := []time.Duration{shortIdle, middleIdle, longIdle, longIdle} // longIdle twice as often as each other
	idle := choices[r.config.random.IntN(len(choices))]
	r.config.mu.Unlock()
	return r.writeConfigWithIdle(ctx, idle)
}

// writeConfigWithIdle writes the next configuration: the permanent routes with newly drawn timeouts, and one route
// that exists only in this version and leads to mainService and sideService by turns.
func (r *run) writeConfigWithIdle(ctx context.Context, idle time.Duration) error {
	r.config.mu.Lock()
	defer r.config.mu.Unlock()
	r.config.version++
	// With MemoryMB, an engine has room for two models of 100 MB.
	c := standin.Config{
		Version: r.config.version, PlainServices: []string{mainService, sideService}, EngineService: engineService, EngineSlots: engineSlots, Models: map[string]standin.ServerModel{}, MemoryMB: 210, AdapterSlots: 2,
		RemoteLoad: 500 * time.Millisecond, LoadsPerSecond: 3, IdleTimeout: idle,
		Workspaces: workspaces(r.config.version),
	}
	for _, m := range models {
		c.Models[m] = standin.ServerModel{MemoryMB: 100, Load: 200 * time.Millisecond}
	}
	times := []time.Duration{shortestTimeout, middleTimeout, longestTimeout}
	for _, route := range configRoutes(c.Version) {
		route.Host, route.Timeout, route.Objective, route.Attempts = "h.example", times[r.config.random.IntN(len(times))], urgentObjective, routeAttempts
		if route.Name == patientRoute {
			route.Objective, route.Priority = patientObjective, patientPriority
		}
		c.Routes = append(c.Routes, route)
	}
	if err := c.Write(ctx, r.client); err != nil {
		return err
	}
	r.history.addVersion(c.Version, time.Now())
	r.config.idleTimeout = idle
	return nil
}

// configRoutes returns the routes of a version. Routes "unsafe" and "safe" lead to mainService, "add" and "keep" to
// sideService. Route "once" is a stream that cannot be resumed.
func configRoutes(version int64) []standin.Route {
	return []standin.Route{
		{Name: "unsafe", Kind: standin.UnsafeRoute, Service: mainService}, {Name: "safe", Kind: standin.SafeRoute, Service: mainService},
		{Name: "add", Kind: standin.UnsafeRoute, Service: sideService}, {Name: "keep", Kind: standin.SafeRoute, Service: sideService},
		{Name: "stream", Kind: standin.StreamRoute, Service: engineService, Resumable: true}, {Name: "once", Kind: standin.StreamRoute, Service: engineService},
		{Name: patientRoute, Kind: standin.StreamRoute, Service: engineService, Resumable: true},
		{Name: versionRoute(version), Kind: standin.SafeRoute, Service: serviceOf(versionRoute(version))},
	}
}

func versionRoute(version int64) string { return "v" + strconv.FormatInt(version, 10) }

// serviceOf returns the service of a route.
func serviceOf(route string) string {
	switch route {
	case "unsafe", "safe":
		return mainService
	case "add", "keep":
		return sideService
	case "stream", "once", patientRoute:
		return engineService
	}
	if version, err := strconv.ParseInt(strings.TrimPrefix(route, "v"), 10, 64); err == nil && version%2 == 0 {
		return sideService
	}
	return mainService
}

// atMostOnce reports whether requests of a route are not idempotent, so that they may run at most once.
func atMostOnce(route string) bool { return route == "unsafe" || route == "add" || route == "once" }
