// Package declaration defines the declarations of operators: failure domains,
// backend servers, models, adapters and services, written as YAML files and kept
// under version control. It parses, validates and compares declarations and performs
// no I/O.
package declaration

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
)

// Size is a number of bytes, written with a unit, such as "14GiB" or "200MB".
type Size int64

// UnmarshalText parses a size with a unit.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil {
		return errors.Newf("%q is not a size, write it as 14GiB", text)
	}
	*s = Size(n)
	return nil
}

// MarshalText writes the size with a binary unit.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(humanize.IBytes(uint64(s))), nil
}

// Declaration is the complete configuration declared by operators.
type Declaration struct {
	// FailureDomains lists the domains in which instances and backend servers run.
	FailureDomains []string `yaml:"failureDomains"`
	// TailWeight, from 0 to 1, trades tail latency of cold starts against idle
	// accelerator time: at 1 idle models stay loaded longest, at 0 they are unloaded
	// soonest.
	TailWeight float64 `yaml:"tailWeight"`
	// WeightStore describes the limits of the weight store.
	WeightStore WeightStore `yaml:"weightStore"`
	Engines     []Engine    `yaml:"engines"`
	Services    []Service   `yaml:"services,omitempty"`
	Models      []Model     `yaml:"models"`
	Adapters    []Adapter   `yaml:"adapters,omitempty"`
}

// WeightStore holds the limits of the weight store across all failure domains.
type WeightStore struct {
	// StartsPerSecond is the maximum number of loads started per second.
	StartsPerSecond float64 `yaml:"startsPerSecond"`
	// Streams is the number of concurrent loads that run at full speed.
	Streams int `yaml:"streams"`
}

// Engine is one model engine.
type Engine struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failureDomain"`
	// Address is host:port of the engine's HTTP interface.
	Address string `yaml:"address"`
	// Memory is the accelerator memory shared by models and adapters.
	Memory Size `yaml:"memory"`
	// Fencing is set if the engine refuses orders with an old epoch.
	Fencing bool `yaml:"fencing"`
	// Role is the role assigned to the engine, in the engine's own terms, such as
	// prefill or decode; if empty, its role is not changed.
	Role string `yaml:"role,omitempty"`
	// Lost is set by operators to state that the engine is off permanently; its slots
	// are then freed. It must not be set while the engine may still be running.
	Lost bool `yaml:"lost,omitempty"`
}

// Model is one model in one version.
type Model struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
	// Memory is the accelerator memory used by one replica.
	Memory Size `yaml:"memory"`
	// MaxReplicas is the maximum number of replicas across all failure domains; at 0
	// the model is not served.
	MaxReplicas int `yaml:"maxReplicas"`
	// Deadline is the time limit of requests that do not set one.
	Deadline time.Duration `yaml:"deadline"`
	// FailureDomains lists the domains in which the model may be loaded; empty allows
	// all.
	FailureDomains []string `yaml:"failureDomains,omitempty"`
	// QueueLimit is the maximum number of the model's requests in progress or queued
	// at one instance; 0 uses the instance's setting.
	QueueLimit int `yaml:"queueLimit,omitempty"`
}

// Adapter is a small set of weights applied to one model.
type Adapter struct {
	Name    string `yaml:"name"`
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Memory  Size   `yaml:"memory"`
}

// Service is a plain (non-inference) service.
type Service struct {
	Name      string        `yaml:"name"`
	Deadline  time.Duration `yaml:"deadline"`
	Methods   []Method      `yaml:"methods"`
	Instances []Backend     `yaml:"instances"`
}

// Method is one method of a service. Calls to undeclared methods are refused.
type Method struct {
	Name string `yaml:"name"`
	// Idempotent is set if the call may be repeated.
	Idempotent bool `yaml:"idempotent"`
}

// Backend is one backend server of a plain service.
type Backend struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failureDomain"`
	Address       string `yaml:"address"`
}

// Index provides access to the parts of a declaration by name. It is immutable.
type Index struct {
	Generation  int64
	PlanID      string
	Declaration *Declaration
	Models      map[string]*Model
	Adapters    map[AdapterID]*Adapter
	Engines     map[string]*Engine
	Services    map[string]*Service
}

// AdapterID identifies an adapter. Adapter names are unique within a model only.
type AdapterID struct {
	Model, Adapter string
}

// NewIndex returns the index of d.
func NewIndex(generation int64, planID string, d *Declaration) *Index {
	x := &Index{
		Generation: generation, PlanID: planID, Declaration: d,
		Models: map[string]*Model{}, Adapters: map[AdapterID]*Adapter{},
		Engines: map[string]*Engine{}, Services: map[string]*Service{},
	}
	for i := range d.Models {
		x.Models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Adapters {
		a := &d.Adapters[i]
		x.Adapters[AdapterID{a.Model, a.Name}] = a
	}
	for i := range d.Engines {
		x.Engines[d.Engines[i].Name] = &d.Engines[i]
	}
	for i := range d.Services {
		x.Services[d.Services[i].Name] = &d.Services[i]
	}
	return x
}

// AllowedIn reports whether the model may be loaded in the failure domain.
func (m *Model) AllowedIn(domain string) bool {
	if len(m.FailureDomains) == 0 {
		return true
	}
	for _, d := range m.FailureDomains {
		if d == domain {
			return true
		}
	}
	return false
}

// FindMethod returns the declared method with the given name, or nil.
func (s *Service) FindMethod(name string) *Method {
	for i := range s.Methods {
		if s.Methods[i].Name == name {
			return &s.Methods[i]
		}
	}
	return nil
}
