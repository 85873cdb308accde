// Package declaration holds what operators declare: failure domains, backend
// servers, models, adapters and services, in YAML files kept in their version
// control. It parses, validates and compares declarations and does no I/O.
package declaration

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
)

// Size is a number of bytes, written as "14GiB" or "200MB".
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

// Declaration is everything that operators decide.
type Declaration struct {
	// FailureDomains lists the domains in which instances and backend servers run.
	FailureDomains []string `yaml:"failureDomains"`
	// TailWeight from 0 to 1 weighs tail cold start against idle accelerator
	// hours: 1 keeps models loaded longest, 0 unloads soonest.
	TailWeight float64 `yaml:"tailWeight"`
	// WeightStore describes the limits of the weight store.
	WeightStore WeightStore `yaml:"weightStore"`
	Engines     []Engine    `yaml:"engines"`
	Services    []Service   `yaml:"services,omitempty"`
	Models      []Model     `yaml:"models"`
	Adapters    []Adapter   `yaml:"adapters,omitempty"`
}

// WeightStore gives the limits of the weight store over all failure domains.
type WeightStore struct {
	// StartsPerSecond is how many loads may start in a second.
	StartsPerSecond float64 `yaml:"startsPerSecond"`
	// Streams is how many loads run at full speed at once.
	Streams int `yaml:"streams"`
}

// Engine is one model engine.
type Engine struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failureDomain"`
	// Address is host:port of the engine's HTTP interface.
	Address string `yaml:"address"`
	// Memory is the accelerator memory that models and adapters share.
	Memory Size `yaml:"memory"`
	// Fencing says that the engine refuses orders with an old epoch.
	Fencing bool `yaml:"fencing"`
	// Role is what the engine is ordered to be, in its own terms, such as
	// prefill or decode; empty leaves it as it is.
	Role string `yaml:"role,omitempty"`
	// Lost is the operator's word that the engine is off and stays off: its
	// slots are freed. Never set it while the engine may still run.
	Lost bool `yaml:"lost,omitempty"`
}

// Model is one model in one version.
type Model struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
	// Memory is what one replica occupies.
	Memory Size `yaml:"memory"`
	// MaxReplicas bounds the replicas over all failure domains; 0 serves none.
	MaxReplicas int `yaml:"maxReplicas"`
	// Deadline is the time allowed to requests that bring none.
	Deadline time.Duration `yaml:"deadline"`
	// FailureDomains restricts where the model is loaded; empty allows all.
	FailureDomains []string `yaml:"failureDomains,omitempty"`
	// QueueLimit bounds the waiting requests an instance; 0 takes the setting.
	QueueLimit int `yaml:"queueLimit,omitempty"`
}

// Adapter is a small set of weights applied to one model.
type Adapter struct {
	Name    string `yaml:"name"`
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Memory  Size   `yaml:"memory"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name      string        `yaml:"name"`
	Deadline  time.Duration `yaml:"deadline"`
	Methods   []Method      `yaml:"methods"`
	Instances []Backend     `yaml:"instances"`
}

// Method is one call of a service. A method that is not declared is refused.
type Method struct {
	Name string `yaml:"name"`
	// Idempotent says that the call may be repeated.
	Idempotent bool `yaml:"idempotent"`
}

// Backend is one backend server of a plain service.
type Backend struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failureDomain"`
	Address       string `yaml:"address"`
}

// Index gives access to a declaration by name. It is immutable.
type Index struct {
	Generation  int64
	PlanID      string
	Declaration *Declaration
	Models      map[string]*Model
	Adapters    map[AdapterID]*Adapter
	Engines     map[string]*Engine
	Services    map[string]*Service
}

// AdapterID names an adapter: names are unique within a model.
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

// FindMethod returns the declared method of that name, or nil.
func (s *Service) FindMethod(name string) *Method {
	for i := range s.Methods {
		if s.Methods[i].Name == name {
			return &s.Methods[i]
		}
	}
	return nil
}
