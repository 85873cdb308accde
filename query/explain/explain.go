// Package explain selects, from the logs of entry instances, the lines that explain the outcome of
// a request: its own lines, and the decisions about the model, servers and lease that it depended
// on.
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

// ErrNotFound is returned if no line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

// Line is one log line.
type Line struct {
	Time time.Time
	// Instance is the name of the instance that wrote the line.
	Instance string
	Message  string
	// Fields are the fields of the line other than time, level and message, by key.
	Fields map[string]string
	// Text is the line without time and level.
	Text string
}

// ParseLog parses a log of key=value lines. The last word without a value before the time names the
// instance; if there is none, the parameter instance does. Lines without a time are skipped.
func ParseLog(log io.Reader, instance string) ([]Line, error) {
	var lines []Line
	text, err := io.ReadAll(log)
	if err != nil {
		return nil, errors.Wrap(err, "explain: log")
	}
	for raw := range bytes.Lines(text) {
		if line, ok := parseLine(raw, instance); ok {
			lines = append(lines, line)
		}
	}
	return lines, nil
}

func parseLine(raw []byte, instance string) (Line, bool) {
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
			line.Instance = key // the last such word before the time is kept
		case key != "level":
			line.Fields[key] = value
			text = append(text, key+"="+strconv.Quote(value))
		}
	}
	line.Text = line.Message + " " + strings.Join(text, " ")
	return line, d.Err() == nil && !line.Time.IsZero()
}

// lookback is the time before a request's first line in which decisions may have affected it. It is
// longer than a takeover of the lease.
const lookback = 12 * time.Second

// RequestLines returns the lines that concern a request, in order of time. It returns ErrNotFound
// if no line names the request.
func RequestLines(lines []Line, id string) ([]Line, error) {
	var named []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			named = append(named, l)
		}
	}
	if len(named) == 0 {
		return nil, errors.Wrap(ErrNotFound, id)
	}
	s := newScope(named)
	var found []Line
	for _, l := range lines {
		if s.includes(l, id) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, nil
}

// scope is the set of things that a request depended on, and the time range.
type scope struct {
	instance string
	model    string
	engines  map[string]bool
	from, to time.Time
}

func newScope(lines []Line) *scope {
	s := &scope{instance: lines[0].Instance, engines: map[string]bool{}, from: lines[0].Time, to: lines[0].Time}
	for _, l := range lines {
		if unit := l.Fields["unit"]; unit != "" {
			s.model, _, _ = strings.Cut(unit, "/")
		}
		for _, server := range append(strings.Split(l.Fields["held_back"], ","), l.Fields["server"]) {
			if server != "" {
				s.engines[server] = true
			}
		}
		elapsedMS, _ := strconv.Atoi(l.Fields["ms"]) // 0 for lines without a duration
		if began := l.Time.Add(-time.Duration(elapsedMS) * time.Millisecond); began.Before(s.from) {
			s.from = began
		}
		if l.Time.After(s.to) {
			s.to = l.Time
		}
	}
	s.from = s.from.Add(-lookback)
	return s
}

// includes reports whether a line is about the request or what it depended on: its model and
// servers, the lease, and its instance's view of the store, the holder and the configuration.
func (s *scope) includes(l Line, id string) bool {
	if other := l.Fields["request"]; other != "" {
		return other == id
	}
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	unit := l.Fields["load"]
	if unit == "" {
		unit = l.Fields["unit"]
	}
	model, _, _ := strings.Cut(unit, "/")
	switch {
	case s.model != "" && model == s.model:
		return true
	case s.engines[l.Fields["server"]]:
		return l.Instance == s.instance
	case strings.HasPrefix(l.Message, "lease "):
		return true
	default:
		return l.Instance == s.instance && model == "" && l.Fields["engine"] == "" && l.Fields["server"] == ""
	}
}
