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

// Fault is one mistake in a declaration.
type Fault struct {
	// Path is the YAML path of the field, such as $.models[2].memory.
	Path string
	// Line is the line in the source, 0 when unknown.
	Line int
	// Message says what is wrong and Mend what to write instead.
	Message string
	Mend    string
}

// Faults is all mistakes found in one declaration.
type Faults struct {
	File string
	List []Fault
}

// Error returns one line a fault, as file:line: path: message; mend.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, one := range f.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s; %s", f.File, one.Line, one.Path, one.Message, one.Mend))
	}
	return strings.Join(lines, "\n")
}

// Parse reads and validates a declaration. file is used in messages only. The
// error is *Faults when the content is at fault.
func Parse(file string, source []byte) (*Declaration, error) {
	d := &Declaration{}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(d); err != nil {
		return nil, &Faults{File: file, List: syntaxFaults(err)}
	}
	if err := decoder.Decode(&Declaration{}); !errors.Is(err, io.EOF) {
		return nil, &Faults{File: file, List: []Fault{{Path: "$", Message: "more than one document", Mend: "keep one document a file"}}}
	}
	faults := Validate(d)
	if len(faults) == 0 {
		return d, nil
	}
	addLines(source, faults)
	return nil, &Faults{File: file, List: faults}
}

// linePattern finds the line in the parser's messages.
var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxMend is all that can be advised about a file that cannot be read.
const syntaxMend = "correct it, docs/OPERATIONS.md lists the fields"

func syntaxFaults(err error) []Fault {
	if errors.Is(err, io.EOF) {
		return []Fault{{Path: "$", Line: 1, Message: "empty file", Mend: "declare at least failureDomains, weightStore and engines"}}
	}
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	var out []Fault
	for _, m := range messages {
		fault := Fault{Path: "$", Message: m, Mend: syntaxMend}
		if found := linePattern.FindStringSubmatch(m); found != nil {
			fault.Line, _ = strconv.Atoi(found[1])
			fault.Message = strings.ReplaceAll(found[2], "type declaration.", "")
		}
		out = append(out, fault)
	}
	return out
}

// addLines looks up the line of each fault's path.
func addLines(source []byte, faults []Fault) {
	var root yaml.Node
	if yaml.Unmarshal(source, &root) != nil || len(root.Content) == 0 {
		return
	}
	for i := range faults {
		faults[i].Line = lineOf(root.Content[0], faults[i].Path)
	}
}

// stepPattern splits a path into names and indexes.
var stepPattern = regexp.MustCompile(`[A-Za-z]+|\d+`)

// lineOf returns the line of path, or of the nearest parent that exists.
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
