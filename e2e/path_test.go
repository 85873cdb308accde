package e2e

import (
	"strings"
	"testing"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

// TestColdRequestEndToEnd: operators declare a model with martenctl plan and confirm. A request for the model, which is
// not loaded yet, must cause a single load order and be answered (a cold request). The timeline must show its events.
func TestColdRequestEndToEnd(t *testing.T) {
	f := newFleet(t, true, "100e9")
	f.applyDeclaration(f.instances["i-a"], f.declaration(true, `{name: caption, version: "1", memory: 14GiB, maxReplicas: 1, deadline: 60s}`))
	f.awaitOrderersKnown("i-a", "i-b", "i-c")
	answer, err := f.instances["i-b"].generate(waitTimeout, &martenportv1.GenerateRequest{Model: "caption", Prompt: "hello", MaxTokens: 3})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Text != "hello:0 hello:1 hello:2 " || !answer.Cold {
		t.Errorf("answer %q cold=%t, want the three tokens of a cold request", answer.Text, answer.Cold)
	}
	if n := f.loadCount(); n != 1 {
		t.Errorf("%d load orders, want 1", n)
	}
	events := string(f.martenctl(f.instances["i-c"], "timeline", "--model", "caption"))
	for _, kind := range []string{"request_accept", "wake", "load_order", "loaded", "request_answer"} {
		if !strings.Contains(events, "event="+kind) {
			t.Errorf("the timeline lacks event %s:\n%s", kind, events)
		}
	}
}
