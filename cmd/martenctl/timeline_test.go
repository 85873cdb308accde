package main

import (
	"strings"
	"testing"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

func TestTimelinePage(t *testing.T) {
	var page strings.Builder
	err := writeTimelineHTML(&page, &martenportv1.TimelineResponse{
		Events: []*martenportv1.TimelineEvent{
			{Process: "b", Kind: "wake", Model: "caption"},
			{Process: "a", Kind: "load_fail", Engine: "e1", Detail: "<script>"},
		},
		Unreachable: []string{"c"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<th>a</th><th>b</th>", "2 events", "Not reached: c", `class="event bad"`, "&lt;script&gt;"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}

func TestEventLine(t *testing.T) {
	got := eventLine(&martenportv1.TimelineEvent{Process: "a", Kind: "loaded", Model: "m", Detail: "x=1"})
	if want := "1970-01-01T00:00:00.000000Z process=a event=loaded model=m x=1"; got != want {
		t.Errorf("%s", got)
	}
}
