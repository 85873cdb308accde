package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// RouteKind is what a route's requests are.
type RouteKind string

// The kinds of routes.
const (
	SafeRoute   RouteKind = "safe"
	UnsafeRoute RouteKind = "unsafe"
	StreamRoute RouteKind = "streaming"
)

// Route is a route of a Config, by host and path prefix.
type Route struct {
	// Name is also the path prefix, between slashes.
	Name, Host, Service string
	Kind                RouteKind
	// Timeout is the longest time, Objective the one for a timely answer.
	Timeout, Objective time.Duration
	Attempts           int
	Resumable          bool
	// Public: requests need no key.
	Public bool
}

// Workspace is whose requests are.
type Workspace struct {
	Name string
	Keys []string
	// Rate a second and Burst bound its requests over all instances, in tokens; no limit if
	// Rate is 0.
	Rate, Burst float64
}

// plainTokens is what a request counts that does not say its size.
const plainTokens = 200

// Config is a configuration as the platform's operator writes it: plain services,
// and one service of model engines that are all alike.
type Config struct {
	Version int64
	Routes  []Route
	// Plain are the names of plain services, Engines that of the engines'.
	Plain   []string
	Engines string
	// Models are what engines can load, and MemoryMB and AdapterSlots their room.
	Models       map[string]ServerModel
	MemoryMB     float64
	AdapterSlots int
	// RemoteLoad is the time of a load from the weight store, which allows
	// LoadsPerSecond.
	RemoteLoad     time.Duration
	LoadsPerSecond float64
	// Workspaces is nil where requests need no key.
	Workspaces []Workspace
	// IdleTimeout is how long clients' connections may be idle.
	IdleTimeout time.Duration
}

// Limits on clients in every Config; configIdleTimeout in one without IdleTimeout.
const (
	configHeaderBytes   = 16 << 10
	configBodyBytes     = 1 << 20
	configIdleTimeout   = 15 * time.Second
	configHeaderTimeout = 3 * time.Second
)

// adapters is how many adapters each model has.
const adapters = 4

// Encode returns the configuration as the store keeps it.
func (c Config) Encode() ([]byte, error) {
	routes := []map[string]any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": "/" + r.Name + "/", "routeType": string(r.Kind), "timeoutMs": r.Timeout.Milliseconds(),
			"goalMs": r.Objective.Milliseconds(), "service": r.Service, "attempts": r.Attempts, "resumable": r.Resumable, "public": r.Public,
		})
	}
	services := []map[string]any{}
	for _, name := range c.Plain {
		services = append(services, map[string]any{"name": name})
	}
	models := []map[string]any{}
	for name, m := range c.Models {
		models = append(models, map[string]any{
			"name": name, "weightsMb": m.MemoryMB, "loadS": c.RemoteLoad.Seconds(), "diskS": m.Load.Seconds(), "warmS": m.Load.Seconds(),
			"adapters": adapters, "adapterSizeMb": m.AdapterMB,
		})
	}
	services = append(services, map[string]any{"name": c.Engines, "engine": map[string]any{
		"slots": serverSlots, "weightsMb": c.MemoryMB, "adapterSlots": c.AdapterSlots, "loadsPerS": c.LoadsPerSecond, "models": models,
	}})
	idle := c.IdleTimeout
	if idle == 0 {
		idle = configIdleTimeout
	}
	config := map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": configHeaderBytes, "maxBodyBytes": configBodyBytes,
			"idleTimeoutMs": idle.Milliseconds(), "headerTimeoutMs": configHeaderTimeout.Milliseconds(),
		},
	}
	if c.Workspaces != nil {
		config["tenants"] = c.workspaces()
	}
	value, err := json.Marshal(config)
	return value, errors.Wrap(err, "standin: configuration")
}

func (c Config) workspaces() []map[string]any {
	list := []map[string]any{}
	for _, w := range c.Workspaces {
		list = append(list, map[string]any{
			"name": w.Name, "apiKeys": w.Keys, "unit": "token_stream", "plainTokens": plainTokens, "ratePerS": w.Rate, "burst": w.Burst,
		})
	}
	return list
}

// Write puts the configuration in force in a store.
func (c Config) Write(ctx context.Context, s store.Store) error {
	value, err := c.Encode()
	if err != nil {
		return err
	}
	_, version, err := store.Read[json.RawMessage](ctx, s, platform.KeyConfig)
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, platform.KeyConfig, value, version)
	return err
}
