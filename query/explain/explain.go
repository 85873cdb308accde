// Package explain finds, in the logs of entry instances, the lines that say why
// a request ended as it did: its own, and the decisions about what it needed.
package explain

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// ErrNotFound: no line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Instance is the one that wrote it.
	Instance string
	Message  string
	// Fields are the others, by key.
	Fields map[string]string
	// Text is the line as it stands in the log, without time and level.
	Text string
}

// Read reads a log of key=value lines. Words before the first key that carry no
// value name the instance; where there are none, instance does. Lines without a
// time are passed over.
func Read(log io.Reader, instance string) ([]Line, error) {
	var lines []Line
	text, err := io.ReadAll(log)
	if err != nil {
		return nil, errors.Wrap(err, "explain: log")
	}
	for raw := range bytes.Lines(text) {
		if line, ok := parse(raw, instance); ok {
			lines = append(lines, line)
		}
	}
	return lines, nil
}

func parse(raw []byte, instance string) (Line, bool) {
	line := Line{Instance: instance, Fields: map[string]string{}}
	var text []string
	d := logfmt.NewDecoder(bytes.NewReader(raw))
	if !d.ScanRecord() {
		return line, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch {
		case key == "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = t
		case key == "msg":
			line.Message = value
		case line.Time.IsZero() && value == "":
			line.Instance = key // the last word before the time
		case key != "level":
			line.Fields[key] = value
			text = append(text, key+"="+strconv.Quote(value))
		}
	}
	line.Text = line.Message + " " + strings.Join(text, " ")
	return line, d.Err() == nil && !line.Time.IsZero()
}

// before is how long before a request's first line decisions may have shaped it:
// longer than a take-over of the lease.
const before = 12 * time.Second

// Request returns the lines that concern a request, in the order of time.
func Request(lines []Line, id string) ([]Line, error) {
	var own []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, errors.Wrap(ErrNotFound, id)
	}
	c := newConcern(own)
	var found []Line
	for _, l := range lines {
		if c.concerns(l, id) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, nil
}

// concern is what a request depended on, and when.
type concern struct {
	instance string
	model    string
	engines  map[string]bool
	from, to time.Time
}

func newConcern(own []Line) *concern {
	c := &concern{instance: own[0].Instance, engines: map[string]bool{}, from: own[0].Time, to: own[0].Time}
	for _, l := range own {
		if unit := l.Fields["unit"]; unit != "" {
			c.model, _, _ = strings.Cut(unit, "/")
		}
		for _, server := range append(strings.Split(l.Fields["held_back"], ","), l.Fields["server"]) {
			if server != "" {
				c.engines[server] = true
			}
		}
		took, _ := strconv.Atoi(l.Fields["ms"]) // a line without it took no time
		if begun := l.Time.Add(-time.Duration(took) * time.Millisecond); begun.Before(c.from) {
			c.from = begun
		}
		if l.Time.After(c.to) {
			c.to = l.Time
		}
	}
	c.from = c.from.Add(-before)
	return c
}

// concerns reports whether a line says something about the request or what it
// depended on: its model and servers, the lease, and its instance's view of the
// store, the holder and the configuration.
func (c *concern) concerns(l Line, id string) bool {
	if other := l.Fields["request"]; other != "" {
		return other == id
	}
	if l.Time.Before(c.from) || l.Time.After(c.to) {
		return false
	}
	unit := l.Fields["load"]
	if unit == "" {
		unit = l.Fields["unit"]
	}
	model, _, _ := strings.Cut(unit, "/")
	switch {
	case c.model != "" && model == c.model:
		return true
	case c.engines[l.Fields["server"]]:
		return l.Instance == c.instance
	case strings.HasPrefix(l.Message, "lease "):
		return true
	default:
		return l.Instance == c.instance && model == "" && l.Fields["engine"] == "" && l.Fields["server"] == ""
	}
}
