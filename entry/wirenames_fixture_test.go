package entry

import (
	"encoding"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// codec is an encoding whose names are listed. Types that implement one of custom encode themselves.
type codec struct {
	keys   bool // fields have JSON keys
	custom []reflect.Type
}

var (
	gobCodec  = codec{custom: []reflect.Type{reflect.TypeFor[gob.GobEncoder](), reflect.TypeFor[encoding.BinaryMarshaler]()}}
	jsonCodec = codec{keys: true, custom: []reflect.Type{reflect.TypeFor[json.Marshaler](), reflect.TypeFor[encoding.TextMarshaler]()}}
)

// names returns one line for a value of type t and one for each field that it encodes, at any depth.
// Names of types are left out: only that of an embedded type is encoded.
func (c codec) names(path string, t reflect.Type) []string { return c.walk(path, t, "", nil) }

// walk implements names for the value of a field with a key, where above contains the enclosing struct types.
func (c codec) walk(path string, t reflect.Type, key string, above []reflect.Type) []string {
	path, t = c.element(path, t)
	recursive := slices.Contains(above, t)
	lines := []string{path + " " + c.kind(t, recursive) + key}
	if t.Kind() != reflect.Struct || c.encodesItself(t) || recursive {
		return lines
	}
	for f := range t.Fields() {
		if !c.encodes(f) {
			continue
		}
		name := path + "." + f.Name
		if f.Anonymous {
			name += "(embedded)"
		}
		lines = append(lines, c.walk(name, f.Type, c.key(f), append(slices.Clone(above), t))...)
	}
	return lines
}

// element follows pointers, slices, arrays and maps to their element type.
func (c codec) element(path string, t reflect.Type) (string, reflect.Type) {
	for !c.encodesItself(t) {
		switch t.Kind() {
		case reflect.Pointer: // encoded as what it points to
		case reflect.Slice:
			if t.Elem().Kind() == reflect.Uint8 {
				return path, t
			}
			path += "[]"
		case reflect.Array:
			path += fmt.Sprintf("[%d]", t.Len())
		case reflect.Map:
			if t.Key().Kind() == reflect.Struct {
				panic(path + ": the fields of a map's key are not listed")
			}
			path += "[" + t.Key().Kind().String() + "]"
		default:
			return path, t
		}
		t = t.Elem()
	}
	return path, t
}

func (c codec) kind(t reflect.Type, recursive bool) string {
	switch {
	case c.encodesItself(t):
		return "encodes itself"
	case recursive:
		return "recursive"
	case t.Kind() == reflect.Slice:
		return "[]byte"
	}
	return t.Kind().String()
}

func (c codec) encodesItself(t reflect.Type) bool {
	return slices.ContainsFunc(c.custom, func(i reflect.Type) bool { return t.Implements(i) || reflect.PointerTo(t).Implements(i) })
}

func (c codec) encodes(f reflect.StructField) bool {
	if c.keys {
		return f.Tag.Get("json") != "-" && (f.IsExported() || f.Anonymous)
	}
	return f.IsExported() && f.Type.Kind() != reflect.Chan && f.Type.Kind() != reflect.Func
}

// key returns the field's JSON key with its options, after a space.
func (c codec) key(f reflect.StructField) string {
	if !c.keys {
		return ""
	}
	name, options, more := strings.Cut(f.Tag.Get("json"), ",")
	switch {
	case name == "" && f.Anonymous:
		return " json=(keys of its fields)"
	case name == "":
		name = f.Name
	}
	if more {
		name += "," + options
	}
	return " json=" + name
}

// checkNames compares lines with a file under testdata, in which lines that begin with # are comments.
func checkNames(t *testing.T, file string, lines []string) {
	t.Helper()
	file = filepath.Join("testdata", file)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	want = slices.DeleteFunc(want, func(line string) bool { return strings.HasPrefix(line, "#") })
	slices.Sort(lines)
	if slices.Equal(lines, want) {
		return
	}
	t.Errorf(`names differ from those in %s (- there, + in the code; both sorted):
%s%sAn old and a new build run beside each other, and read each other's records. A field whose name the
reader does not know is lost in silence; a method or key of another name is not found. Keep the name.
A new field, or one that no build in use reads any more, is added to or removed from the file by hand.`,
		file, marked("- ", want, lines), marked("+ ", lines, want))
}

// marked returns the lines that others lacks, each prefixed with mark.
func marked(mark string, lines, others []string) string {
	var b strings.Builder
	for _, line := range lines {
		if !slices.Contains(others, line) {
			b.WriteString(mark + line + "\n")
		}
	}
	return b.String()
}
