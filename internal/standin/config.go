package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// RouteKind states whether a route's requests may be repeated, and whether they are streamed.
type RouteKind string

// The kinds of routes.
const (
	SafeRoute   RouteKind = "safe"
	UnsafeRoute RouteKind = "unsafe"
	StreamRoute RouteKind = "streaming"
)

// Route is a route of a Config, selected by host and path prefix.
type Route struct {
	// Name is also the path prefix, enclosed in slashes.
	Name, Host, Service string
	Kind                RouteKind
	// Timeout is the maximum duration of a request, Objective the duration within which it is on time.
	Timeout, Objective time.Duration
	Attempts           int
	Resumable          bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public reports whether requests need no key.
	Public bool
}

// Workspace is a workspace of a Config, with its keys and its limit.
type Workspace struct {
	Name string
	Keys []string
	// Rate, per second, and Burst limit its requests over all instances, in tokens. A Rate of 0 means no limit.
	Rate, Burst float64
}

// plainTokens is the cost of a request without a token count.
const plainTokens = 200

// Config is a configuration as the platform's operators write it: plain services, and one service of identical
// model engines.
type Config struct {
	Version int64
	Routes  []Route
	// PlainServices are the names of the plain services, and EngineService is the name of the engines'
	// service.
	PlainServices []string
	EngineService string
	// EngineSlots is the number of requests that an engine runs concurrently; defaultSlots if 0.
	EngineSlots int
	// Models are the models that engines can load; MemoryMB and AdapterSlots are the capacity of an engine.
	Models       map[string]ServerModel
	MemoryMB     float64
	AdapterSlots int
	// RemoteLoad is the duration of a load from the weight store, and LoadsPerSecond the rate of loads that the store
	// permits.
	RemoteLoad     time.Duration
	LoadsPerSecond float64
	// Backups is set if engines keep backups of runs on other engines.
	Backups bool
	// Workspaces is nil if requests need no key.
	Workspaces []Workspace
	// IdleTimeout is the idle timeout of clients' connections, configIdleTimeout if 0.
	IdleTimeout time.Duration
	// BodyBytes is the largest body of a request, configBodyBytes if 0.
	BodyBytes int
}

// Limits on clients in every Config.
const (
	configHeaderBytes   = 16 << 10
	configBodyBytes     = 1 << 20
	configIdleTimeout   = 15 * time.Second
	configHeaderTimeout = 3 * time.Second
)

// handleLifetime is how long a backup is kept after its last part, according to the configuration. A
// Server keeps it until it is used or freed.
const handleLifetime = 5 * time.Second

// adaptersPerModel is the number of adapters of each model.
const adaptersPerModel = 4

// Encode returns the configuration as it is stored.
func (c Config) Encode() ([]byte, error) {
	routes := []map[string]any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": "/" + r.Name + "/", "routeType": string(r.Kind), "timeoutMs": r.Timeout.Milliseconds(),
			"goalMs": r.Objective.Milliseconds(), "service": r.Service, "attempts": r.Attempts, "resumable": r.Resumable, "public": r.Public,
			"priority": r.Priority,
		})
	}
	services := []map[string]any{}
	for _, name := range c.PlainServices {
		services = append(services, map[string]any{"name": name})
	}
	models := []map[string]any{}
	for name, m := range c.Models {
		models = append(models, map[string]any{
			"name": name, "weightsMb": m.MemoryMB, "loadS": c.RemoteLoad.Seconds(), "diskS": m.Load.Seconds(), "warmS": m.Load.Seconds(),
			"adapters": adaptersPerModel, "adapterSizeMb": m.AdapterMB,
		})
	}
	services = append(services, map[string]any{"name": c.EngineService, "engine": map[string]any{
		"slots": cmp.Or(c.EngineSlots, defaultSlots), "weightsMb": c.MemoryMB, "adapterSlots": c.AdapterSlots, "loadsPerS": c.LoadsPerSecond, "models": models,
		"backups": c.Backups, "handle_s": handleLifetime.Seconds(),
	}})
	idle := c.IdleTimeout
	if idle == 0 {
		idle = configIdleTimeout
	}
	config := map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": configHeaderBytes, "maxBodyBytes": cmp.Or(c.BodyBytes, configBodyBytes),
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

// Write writes the configuration to a store.
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
