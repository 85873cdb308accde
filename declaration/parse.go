package declaration

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
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
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(d); err != nil {
		return nil, syntaxFault(file, err)
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

func syntaxFault(file string, err error) *Faults {
	fault := Fault{Path: "$", Message: err.Error(), Mend: "see docs/OPERATING.md for the fields"}
	if errors.Is(err, io.EOF) {
		fault.Message = "empty file"
	}
	var typed yaml.Error
	if errors.As(err, &typed) {
		fault.Message = typed.GetMessage()
		fault.Line = typed.GetToken().Position.Line
		fault.Path = typed.GetToken().Value
	}
	return &Faults{File: file, List: []Fault{fault}}
}

func addLines(source []byte, faults []Fault) {
	file, err := parser.ParseBytes(source, 0)
	if err != nil || len(file.Docs) == 0 {
		return
	}
	for i := range faults {
		faults[i].Line = lineOf(file, faults[i].Path)
	}
}

// lineOf returns the line of path, or of the nearest parent that exists.
func lineOf(file *ast.File, path string) int {
	for path != "$" && path != "" {
		p, err := yaml.PathString(path)
		if err == nil {
			if node, err := p.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		path = parentPath(path)
	}
	return 1
}

func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i > 0 {
		return path[:i]
	}
	return "$"
}
