// Package status describes an instance's view of the fleet.
package status

import (
	"fmt"
	"slices"
	"time"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/table"
)

// Model is the state of one declared model as this instance knows it.
type Model struct {
	Name        string
	MaxReplicas int
	Resident    int
	Loading     int
	// Waiting is the number of this instance's requests that wait for the model.
	Waiting int
	// WhyNotLoaded is the reason why no replica is resident, empty if one is.
	WhyNotLoaded string
}

// Models returns the state of every declared model, in the order of the declaration.
func Models(tables *table.Tables, gate *admission.Gate) []Model {
	index := tables.Config.Index()
	engines := tables.Engines.All()
	out := make([]Model, 0, len(index.Declaration.Models))
	for i := range index.Declaration.Models {
		out = append(out, model(&index.Declaration.Models[i], engines, gate))
	}
	return out
}

func model(m *declaration.Model, engines []table.EngineView, gate *admission.Gate) Model {
	out := Model{Name: m.Name, MaxReplicas: m.MaxReplicas, Waiting: gate.Pending(m.Name)}
	for _, e := range engines {
		switch u, _ := e.Find(m.Name); u.State {
		case backend.Resident:
			out.Resident++
		case backend.Loading:
			out.Loading++
		}
	}
	if out.Resident == 0 {
		out.WhyNotLoaded = reasonNotLoaded(m, out, engines)
	}
	return out
}

// reasonNotLoaded returns the first condition that prevents a model from being loaded.
func reasonNotLoaded(m *declaration.Model, state Model, engines []table.EngineView) string {
	switch {
	case m.MaxReplicas == 0:
		return "maxReplicas is 0"
	case state.Loading > 0:
		return "being loaded"
	}
	hasRoom, hasOrderer := false, false
	for _, e := range engines {
		if !e.Usable() || !m.AllowedIn(e.FailureDomain) {
			continue
		}
		hasOrderer = hasOrderer || e.Orderer != ""
		hasRoom = hasRoom || e.MemoryBytes-e.UsedBytes+e.IdleBytes >= int64(m.Memory)
		if slices.Contains(e.Doubtful, m.Name) {
			return fmt.Sprintf("doubtful claim on %s: an earlier orderer may still load it there", e.Engine)
		}
	}
	switch {
	case !hasOrderer:
		return "no engine it may run on has an orderer"
	case !hasRoom:
		return "no engine it may run on has room, even after unloading what is idle"
	default:
		return "idle: no request has asked for it since it was last unloaded"
	}
}

// ReportAge returns the time since this instance last received a change of the engine, 0 if it
// never did.
func ReportAge(e table.EngineView, now time.Time) time.Duration {
	if e.UpdatedAt.IsZero() {
		return 0
	}
	return now.Sub(e.UpdatedAt)
}
