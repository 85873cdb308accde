// Package serving defines the types that an entry instance serves requests with: routes and services as configured
// by the operator, backend servers as they announce themselves, and requests. The package does no I/O.
package serving

import (
	"net"
	"strings"
	"time"
)

// Kind states whether requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route configures how requests for a host and path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the maximum time to the end of the response.
	Timeout time.Duration
	// Objective is the latency objective: to the response, or to a stream's first event.
	Objective time.Duration
	// ClientIdleTimeout is how long clients wait for the first event, and between events, before they disconnect;
	// 0 if they wait until their timeout.
	ClientIdleTimeout time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Targets share the route's requests by weight.
	Targets []Target
	// Attempts is the maximum number of backend servers on which one request may run.
	Attempts int
	// Resumable is set if streams may be continued on another engine.
	Resumable bool
	// Public is set if requests need no key.
	Public bool
}

// MayRepeat reports whether a request of the route may be sent again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Model is a model that can be loaded on the engines of a service.
type Model struct {
	Name     string
	MemoryMB float64
	// RemoteLoad, DiskLoad and MemoryLoad are the durations of a load of weights from the weight store, the engine's
	// disk and its host memory.
	RemoteLoad, DiskLoad, MemoryLoad time.Duration
	Adapters                         int
	AdapterMB                        float64
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryMB is the memory for models and adapters together.
	MemoryMB     float64
	AdapterSlots int
	// RemoteLoadsPerSecond bounds the rate of loads from the weight store over all engines.
	RemoteLoadsPerSecond float64
	// Backups is set if engines send the memory of a run to a backup engine on request. BackupTTL is how long a backup
	// is kept after its last part.
	Backups   bool
	BackupTTL time.Duration
	Models    map[string]Model
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for services without engines.
	Engine *EngineSpec
}

// Limits bound what a client may send. Zero means that no limit is configured.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces is nil if requests need no key.
	Workspaces []Workspace

	byHost map[string][]*Route
	byName map[string]*Workspace
	byKey  map[KeyDigest]*Workspace
	// contended has the services for which Contended reports true.
	contended map[string]bool
}

// Index prepares the configuration for Match, Contended, Workspace and WorkspaceOf. It must be called once, before the
// configuration is shared. It fails if a workspace has no name or an empty key, or if two workspaces share a name or
// a key.
func (c *Config) Index() error {
	c.byName, c.byKey = map[string]*Workspace{}, map[KeyDigest]*Workspace{}
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	c.contended = c.contendedServices()
	return c.indexWorkspaces()
}

// Match returns the route for the host with the longest prefix of path, nil if there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[normalizeHost(host)] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
