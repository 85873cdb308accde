package declaration

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two declarations, described for operators.
type Change struct {
	// Kind is ChangeAdd, ChangeRemove or ChangeModify.
	Kind string
	// Subject names what changes, such as "model caption-et".
	Subject string
	// Detail describes the change and its consequences; it may be empty.
	Detail string
}

// Values of Change.Kind.
const (
	ChangeAdd    = "add"
	ChangeRemove = "remove"
	ChangeModify = "change"
)

// Diff returns the changes from before to after in a deterministic order.
func Diff(before, after *Declaration) []Change {
	var out []Change
	out = append(out, diffDomains(before, after)...)
	out = append(out, diffWeights(before, after)...)
	out = append(out, diffNamed("engine", before.Engines, after.Engines, func(e Engine) string { return e.Name }, engineDetail)...)
	out = append(out, diffNamed("model", before.Models, after.Models, func(m Model) string { return m.Name }, modelDetail)...)
	out = append(out, diffNamed("adapter", before.Adapters, after.Adapters, func(a Adapter) string { return a.Model + "/" + a.Name }, adapterDetail)...)
	out = append(out, diffNamed("service", before.Services, after.Services, func(s Service) string { return s.Name }, serviceDetail)...)
	return out
}

func diffDomains(before, after *Declaration) []Change {
	var out []Change
	for _, d := range after.FailureDomains {
		if !slices.Contains(before.FailureDomains, d) {
			out = append(out, Change{ChangeAdd, "failure domain " + d, ""})
		}
	}
	for _, d := range before.FailureDomains {
		if !slices.Contains(after.FailureDomains, d) {
			out = append(out, Change{ChangeRemove, "failure domain " + d, ""})
		}
	}
	return out
}

func diffWeights(before, after *Declaration) []Change {
	var out []Change
	if before.TailWeight != after.TailWeight {
		out = append(out, Change{ChangeModify, "tailWeight", fmt.Sprintf("%v to %v", before.TailWeight, after.TailWeight)})
	}
	if before.WeightStore != after.WeightStore {
		out = append(out, Change{ChangeModify, "weightStore", fmt.Sprintf("%+v to %+v", before.WeightStore, after.WeightStore)})
	}
	return out
}

// diffNamed returns the changes between two lists whose items have unique names.
// detail describes the change of an item.
func diffNamed[T any](kind string, before, after []T, name func(T) string, detail func(a, b T) string) []Change {
	var out []Change
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	inAfter := map[string]bool{}
	for _, item := range after {
		previous, found := old[name(item)]
		inAfter[name(item)] = true
		switch {
		case !found:
			out = append(out, Change{ChangeAdd, kind + " " + name(item), ""})
		case !reflect.DeepEqual(previous, item):
			out = append(out, Change{ChangeModify, kind + " " + name(item), detail(previous, item)})
		}
	}
	for _, item := range before {
		if !inAfter[name(item)] {
			out = append(out, Change{ChangeRemove, kind + " " + name(item), "requests for it are refused; what is loaded is unloaded once idle"})
		}
	}
	return out
}

func modelDetail(a, b Model) string {
	var parts []string
	if a.Version != b.Version {
		parts = append(parts, fmt.Sprintf("version %s to %s: each replica is unloaded before it is loaded anew", a.Version, b.Version))
	}
	if a.MaxReplicas > b.MaxReplicas {
		parts = append(parts, fmt.Sprintf("maxReplicas %d to %d: unused slots are withdrawn first, then replicas unloaded; slots of a cut-off failure domain count as used until it is back", a.MaxReplicas, b.MaxReplicas))
	}
	if a.MaxReplicas < b.MaxReplicas {
		parts = append(parts, fmt.Sprintf("maxReplicas %d to %d", a.MaxReplicas, b.MaxReplicas))
	}
	if a.Memory != b.Memory {
		parts = append(parts, fmt.Sprintf("memory %d to %d bytes, for loads from now on", a.Memory, b.Memory))
	}
	if a.Deadline != b.Deadline {
		parts = append(parts, fmt.Sprintf("deadline %v to %v", a.Deadline, b.Deadline))
	}
	if !slices.Equal(a.FailureDomains, b.FailureDomains) {
		parts = append(parts, fmt.Sprintf("failureDomains %v to %v", a.FailureDomains, b.FailureDomains))
	}
	if a.QueueLimit != b.QueueLimit {
		parts = append(parts, fmt.Sprintf("queueLimit %d to %d", a.QueueLimit, b.QueueLimit))
	}
	return strings.Join(parts, "; ")
}

func engineDetail(a, b Engine) string {
	if !a.Lost && b.Lost {
		return "declared lost: its slots are freed at once, which is safe only if it is off"
	}
	return fmt.Sprintf("%+v to %+v", a, b)
}

func adapterDetail(a, b Adapter) string {
	return fmt.Sprintf("version %s to %s, memory %d to %d bytes", a.Version, b.Version, a.Memory, b.Memory)
}

func serviceDetail(a, b Service) string {
	return fmt.Sprintf("%+v to %+v", a, b)
}
