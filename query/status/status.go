// Package status describes what an instance knows of the fleet.
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

// Model is the state of one declared model as known here.
type Model struct {
	Name        string
	MaxReplicas int
	Resident    int
	Loading     int
	// Waiting counts this instance's requests for it.
	Waiting int
	// WhyNotLoaded is empty when a replica is resident.
	WhyNotLoaded string
}

// Models returns the state of every declared model, in declared order.
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
	out := Model{Name: m.Name, MaxReplicas: m.MaxReplicas, Waiting: gate.Waiting(m.Name)}
	for _, e := range engines {
		switch u, _ := e.Find(m.Name); u.State {
		case backend.Resident:
			out.Resident++
		case backend.Loading:
			out.Loading++
		}
	}
	if out.Resident == 0 {
		out.WhyNotLoaded = why(m, out, engines)
	}
	return out
}

// why names the first condition that keeps a model from being loaded.
func why(m *declaration.Model, state Model, engines []table.EngineView) string {
	switch {
	case m.MaxReplicas == 0:
		return "maxReplicas is 0"
	case state.Loading > 0:
		return "being loaded"
	}
	room, ordered := false, false
	for _, e := range engines {
		if !e.Usable() || !m.AllowedIn(e.FailureDomain) {
			continue
		}
		ordered = ordered || e.Orderer != ""
		room = room || e.MemoryBytes-e.UsedBytes+e.IdleBytes >= int64(m.Memory)
		if slices.Contains(e.Doubtful, m.Name) {
			return fmt.Sprintf("doubtful claim on %s: an earlier orderer may still load it there", e.Engine)
		}
	}
	switch {
	case !ordered:
		return "no engine it may run on has an orderer"
	case !room:
		return "no engine it may run on has room, even after unloading what is idle"
	default:
		return "idle: no request has asked for it since it was last unloaded"
	}
}

// ReportAge returns how long ago this instance last heard of a change on the
// engine.
func ReportAge(e table.EngineView, now time.Time) time.Duration {
	if e.SeenAt.IsZero() {
		return 0
	}
	return now.Sub(e.SeenAt)
}
