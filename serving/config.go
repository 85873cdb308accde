// Package serving holds the types by which an entry instance serves requests:
// routes and services as configured by the operator, backend servers as they
// announce themselves, and requests. It is pure: it neither stores nor sends.
package serving

import (
	"net"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests of a host and path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time to the end of the answer.
	Timeout time.Duration
	// Objective is the latency objective: to the answer, or to a stream's
	// first event.
	Objective time.Duration
	// Patience is how long clients wait for a first event, and between events,
	// before they leave; 0 if they wait to the end of their time.
	Patience time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// Targets share the route's requests by weight.
	Targets []Target
	// Attempts bounds the backend servers on which one request may run.
	Attempts int
	// Resumable streams may be continued on another engine.
	Resumable bool
	// Public: requests need no key.
	Public bool
}

// MayRepeat reports whether a request of the route may run again after it may
// have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Model is what can be loaded on the engines of a service.
type Model struct {
	Name     string
	MemoryMB float64
	// RemoteLoad, DiskLoad and MemoryLoad are the load times of weights from
	// the weight store, the engine's disk and its host memory.
	RemoteLoad, DiskLoad, MemoryLoad time.Duration
	Adapters                         int
	AdapterMB                        float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryMB is what models and adapters may occupy together.
	MemoryMB     float64
	AdapterSlots int
	// RemoteLoadsPerSecond bounds loads from the weight store over all engines.
	RemoteLoadsPerSecond float64
	Models               map[string]Model
}

// Service is a group of equal backend servers.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// Limits bound what a client may send. A zero means no limit is configured.
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
	// Workspaces is nil where requests need no key.
	Workspaces []Workspace

	byHost map[string][]*Route
	byName map[string]*Workspace
	byKey  map[KeyDigest]*Workspace
}

// Index prepares the configuration for Match and WorkspaceOf. It must be called once, before
// the configuration is shared. It fails if workspaces cannot be told apart.
func (c *Config) Index() error {
	c.byName, c.byKey = map[string]*Workspace{}, map[KeyDigest]*Workspace{}
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	return c.indexWorkspaces()
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[normalHost(host)] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

func normalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
