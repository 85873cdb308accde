package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type timelineCommand struct {
	shared  *options
	Request string `long:"request" description:"only events of this request id"`
	Model   string `long:"model" description:"only events of this model or model+adapter"`
	Engine  string `long:"engine" description:"only events of this engine"`
	Plan    string `long:"plan" description:"only events of this plan"`
	HTML    string `long:"html" description:"write a page with one lane a process to this file"`
	Limit   int32  `long:"limit" default:"1000" description:"at most this many of the newest events"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	t, err := call(c.shared, c.shared.client().Timeline, &martenportv1.TimelineRequest{
		Request: c.Request, Model: c.Model, Engine: c.Engine, Plan: c.Plan, Limit: c.Limit,
	})
	if err != nil {
		return err
	}
	if c.HTML != "" {
		return c.writePage(t)
	}
	if c.shared.Output == "json" {
		return printJSON(t)
	}
	for _, e := range t.Events {
		fmt.Println(eventLine(e))
	}
	for _, name := range t.Unreachable {
		fmt.Printf("unreachable instance=%s\n", name)
	}
	return nil
}

func (c *timelineCommand) writePage(t *martenportv1.TimelineResponse) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := writeTimelineHTML(file, t); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func eventLine(e *martenportv1.TimelineEvent) string {
	parts := []string{
		time.Unix(0, e.WallNs).UTC().Format("2006-01-02T15:04:05.000000Z"),
		fmt.Sprintf("process=%s event=%s", e.Process, e.Kind),
	}
	for _, f := range []struct{ name, value string }{{"request", e.Request}, {"model", e.Model}, {"engine", e.Engine}, {"plan", e.Plan}} {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, " ")
}
