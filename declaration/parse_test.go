package declaration

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const validSource = `failureDomains: [a, b]
tailWeight: 0.5
weightStore: {startsPerSecond: 3, streams: 4}
engines:
  - {name: e1, failureDomain: a, address: "10.0.0.1:9000", memory: 80GiB, fencing: true}
models:
  - name: caption
    version: "1"
    memory: 14GiB
    maxReplicas: 2
    deadline: 20s
adapters:
  - {name: wedding, model: caption, version: "1", memory: 200MiB}
`

// TestFaults checks that each kind of error is reported with its line, field and
// correction hint, and that a valid declaration is accepted.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "maxReplicas: 2", "maxReplica: 2", "f.yaml:10: $: field maxReplica not found in Model; correct it"},
		{"duplicate field", "maxReplicas: 2", "maxReplicas: 2\n    maxReplicas: 3", "f.yaml:11: $: mapping key \"maxReplicas\" already defined at line 10"},
		{"duplicate model", "adapters:", "  - {name: caption, version: \"1\", memory: 1GiB, maxReplicas: 1, deadline: 1s}\nadapters:", `f.yaml:12: $.models[1].name: "caption" is declared twice; remove or rename`},
		{"cap below zero", "maxReplicas: 2", "maxReplicas: -1", "f.yaml:10: $.models[0].maxReplicas: -1 is below zero; give 0"},
		{"model too large", "memory: 14GiB", "memory: 90GiB", "f.yaml:9: $.models[0].memory: 90 GiB is more than any engine allowed for the model has (80 GiB); correct"},
		{"unknown domain", "failureDomain: a,", "failureDomain: z,", `f.yaml:5: $.engines[0].failureDomain: failure domain "z" is not declared; add it`},
		{"unknown model", "model: caption", "model: captoin", `f.yaml:13: $.adapters[0].model: model "captoin" is not declared; declare it`},
		{"bad size", "memory: 14GiB", "memory: lots", `is not a size, write it as 14GiB`},
		{"bad duration", "deadline: 20s", "deadline: soon", "f.yaml:11: $: cannot unmarshal !!str `soon` into time.Duration"},
		{"no deadline", "    deadline: 20s\n", "", "f.yaml:7: $.models[0].deadline: deadline 0s is out of range; give a duration"},
		{"bad address", "10.0.0.1:9000", "10.0.0.1", `f.yaml:5: $.engines[0].address: "10.0.0.1" is not host:port; write it as`},
		{"two documents", "adapters:", "---\nadapters:", "more than one document"},
		{"not YAML", "engines:", "engines: [", "f.yaml:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.yaml", []byte(strings.Replace(validSource, c.old, c.new, 1)))
			var faults *Faults
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v\nwant %s", err, c.want)
			}
		})
	}
	if _, err := Parse("f.yaml", []byte(validSource)); err != nil {
		t.Errorf("valid declaration refused: %v", err)
	}
	if _, err := Parse("f.yaml", nil); err == nil {
		t.Error("empty file accepted")
	}
}

// TestAllFaultsReported checks that all errors of a file are reported together, not
// only the first.
func TestAllFaultsReported(t *testing.T) {
	text := strings.NewReplacer("maxReplicas: 2", "maxReplicas: -2", "model: caption", "model: x", "failureDomain: a,", "failureDomain: y,").Replace(validSource)
	_, err := Parse("f.yaml", []byte(text))
	var faults *Faults
	if !errors.As(err, &faults) || len(faults.List) < 3 {
		t.Errorf("error %v, want at least 3 faults", err)
	}
}

// TestDiffSymmetry checks that a declaration has no changes relative to itself, and
// that the additions of a diff are the removals of the reverse diff.
func TestDiffSymmetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDeclaration(t, "a"), drawDeclaration(t, "b")
		if changes := Diff(a, a); len(changes) != 0 {
			t.Fatalf("changes relative to itself: %v", changes)
		}
		forward, reverse := count(Diff(a, b)), count(Diff(b, a))
		if forward[ChangeAdd] != reverse[ChangeRemove] || forward[ChangeModify] != reverse[ChangeModify] {
			t.Fatalf("diff has changes %v, reverse diff %v", forward, reverse)
		}
	})
}

func drawDeclaration(t *rapid.T, label string) *Declaration {
	d := &Declaration{}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}), 0, 4, rapid.ID[string]).Draw(t, label) {
		d.Models = append(d.Models, Model{Name: name, MaxReplicas: rapid.IntRange(0, 2).Draw(t, label+name)})
	}
	return d
}

// count returns the number of changes by kind.
func count(changes []Change) map[string]int {
	out := map[string]int{}
	for _, c := range changes {
		out[c.Kind]++
	}
	return out
}

// FuzzParse checks that Parse never panics and accepts only valid declarations.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSource))
	f.Fuzz(func(t *testing.T, source []byte) {
		d, err := Parse("fuzz", source)
		if err == nil && len(Validate(d)) > 0 {
			t.Error("declaration with faults accepted")
		}
	})
}
