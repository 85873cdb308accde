package main

import (
	"strings"
	"testing"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

func TestPrintCapacity(t *testing.T) {
	var empty, full strings.Builder
	if err := printCapacity(&empty, &martenportv1.GetCapacityResponse{Holder: "entry-1"}); err != nil {
		t.Fatal(err)
	}
	if text := empty.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "holder=entry-1 classes=0 ") {
		t.Errorf("%q, want one line", text)
	}
	err := printCapacity(&full, &martenportv1.GetCapacityResponse{
		Classes:          []*martenportv1.ClassCapacity{{Service: "llm", Priority: 2, ObjectiveMs: 1500, AdmittedShare: 0.254}},
		ShortModels:      []*martenportv1.ShortModel{{Model: "caption", Copies: 1, Wanted: 4}},
		ShortModelsTotal: 101,
		Waitlist:         []*martenportv1.WaitlistQueue{{Model: "caption", Listed: 8, Due: 3, OldestMs: 2500}},
		EngineSpeeds:     []*martenportv1.EngineSpeed{{Engine: "engine-1", Speed: 0.5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Join(strings.Fields(full.String()), " ")
	for _, part := range []string{"models_short_of_copies=101 ", "llm 2 1.5s", " 25%", "caption 1 4 ", "8 3 2.5s", "engine-1 0.50"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, full.String())
		}
	}
}
