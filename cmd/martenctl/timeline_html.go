package main

import (
	_ "embed" // embeds the template
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

//go:embed timeline.html.tmpl
var timelinePage string

// timelineRow is one event on the page.
type timelineRow struct {
	Time, Process, Kind, Subject, Detail, Class string
}

// writeTimelineHTML writes the events as an HTML page with one lane per process.
func writeTimelineHTML(w io.Writer, t *martenportv1.TimelineResponse) error {
	page, err := template.New("timeline").Parse(timelinePage)
	if err != nil {
		return err
	}
	var rows []timelineRow
	var processes []string
	for _, e := range t.Events {
		if !slices.Contains(processes, e.Process) {
			processes = append(processes, e.Process)
		}
		rows = append(rows, timelineRow{
			Time:    time.Unix(0, e.WallNs).UTC().Format("15:04:05.000000"),
			Process: e.Process, Kind: e.Kind, Detail: e.Detail, Class: eventClass(e.Kind),
			Subject: strings.TrimSpace(strings.Join([]string{e.Model, e.Engine, e.Plan}, " ")),
		})
	}
	slices.Sort(processes)
	return page.Execute(w, struct {
		Rows                   []timelineRow
		Processes, Unreachable []string
	}{rows, processes, t.Unreachable})
}

// eventClass returns the CSS class for events of a kind: failures, decisions and recoveries are
// highlighted.
func eventClass(kind string) string {
	switch kind {
	case "request_refuse", "request_fail", "attempt_fail", "load_fail", "superseded", "peer_lost", "platform_down", "engine_restarted":
		return "bad"
	case "load_order", "unload_order", "slot_bind", "slot_release", "takeover", "handover", "wake":
		return "order"
	case "request_answer", "loaded", "peer_back", "platform_up":
		return "good"
	default:
		return ""
	}
}
