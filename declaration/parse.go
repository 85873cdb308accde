package declaration

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Fault is one error in a declaration.
type Fault struct {
	// Path is the YAML path of the field, such as $.models[2].memory.
	Path string
	// Line is the line in the source, 0 if unknown.
	Line int
	// Message describes the error, and Mend how to correct it.
	Message string
	Hint    string
}

// Faults is an error that holds all errors found in one declaration.
type Faults struct {
	File string
	List []Fault
}

// Error returns one line per fault, in the format "file:line: path: message; hint".
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, fault := range f.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s; %s", f.File, fault.Line, fault.Path, fault.Message, fault.Hint))
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates a declaration. file is used in messages only. The
// error is a *Faults.
func Parse(file string, source []byte) (*Declaration, error) {
	d := &Declaration{}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(d); err != nil {
		return nil, &Faults{File: file, List: syntaxFaults(err)}
	}
	if err := decoder.Decode(&Declaration{}); !errors.Is(err, io.EOF) {
		return nil, &Faults{File: file, List: []Fault{{Path: "$", Message: "more than one document", Hint: "keep one document a file"}}}
	}
	faults := Validate(d)
	if len(faults) == 0 {
		return d, nil
	}
	addLines(source, faults)
	return nil, &Faults{File: file, List: faults}
}

// linePattern matches the line number in the YAML parser's messages.
var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxHint is the correction hint for all errors reported by the YAML parser.
const syntaxHint = "correct it, docs/OPERATIONS.md lists the fields"

// syntaxFaults converts an error of the YAML parser to faults.
func syntaxFaults(err error) []Fault {
	if errors.Is(err, io.EOF) {
		return []Fault{{Path: "$", Line: 1, Message: "empty file", Hint: "declare at least failureDomains, weightStore and engines"}}
	}
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	var out []Fault
	for _, m := range messages {
		fault := Fault{Path: "$", Message: m, Hint: syntaxHint}
		if found := linePattern.FindStringSubmatch(m); found != nil {
			fault.Line, _ = strconv.Atoi(found[1])
			fault.Message = strings.ReplaceAll(found[2], "type declaration.", "")
		}
		out = append(out, fault)
	}
	return out
}

// addLines sets the line of each fault from its path.
func addLines(source []byte, faults []Fault) {
	var root yaml.Node
	if yaml.Unmarshal(source, &root) != nil || len(root.Content) == 0 {
		return
	}
	for i := range faults {
		faults[i].Line = lineOf(root.Content[0], faults[i].Path)
	}
}

// stepPattern matches the names and indexes in a path.
var stepPattern = regexp.MustCompile(`[A-Za-z]+|\d+`)

// lineOf returns the line of path, or of its nearest existing parent.
func lineOf(node *yaml.Node, path string) int {
	line := node.Line
	for _, step := range stepPattern.FindAllString(path, -1) {
		node = child(node, step)
		if node == nil {
			return line
		}
		line = node.Line
	}
	return line
}

// child returns the child of node with the given name or index, or nil.
func child(node *yaml.Node, step string) *yaml.Node {
	if index, err := strconv.Atoi(step); err == nil && node.Kind == yaml.SequenceNode {
		if index < len(node.Content) {
			return node.Content[index]
		}
		return nil
	}
	for i := 0; i+1 < len(node.Content) && node.Kind == yaml.MappingNode; i += 2 {
		if node.Content[i].Value == step {
			return node.Content[i+1]
		}
	}
	return nil
}
