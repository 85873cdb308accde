package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// recordingServers answers each attempt with an endless stream, and counts what is recorded of it.
type recordingServers struct {
	body     io.Reader
	end      func()
	recorded int
}

// Send implements serving.Sender.
func (s *recordingServers) Send(ctx context.Context, _ serving.Attempt) (*serving.Response, error) {
	body := io.NopCloser(io.MultiReader(s.body, brokenReader{}))
	context.AfterFunc(ctx, s.end)
	return &serving.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Events: true, RecordOversized: func() { s.recorded++ }}, nil
}

// TestEndlessStreamBringsNoNewEvent guards against streams that go on for ever with bytes that are no new event.
func TestEndlessStreamBringsNoNewEvent(t *testing.T) {
	const begun = "id: 1\ndata: x\n\n"
	for name, piece := range map[string]string{
		"blank lines": "\n", "comments": ": x\n\n", "one event": "id: 1\ndata: x\n\n", "two events": "id: 1\ndata: x\n\nid: 0\ndata: x\n\n",
		"comments within an event": ": x\n", "a line": "x",
	} {
		t.Run(name, func(t *testing.T) {
			f, answer := newFixture(t), &endlessAnswer{piece: piece}
			servers := &recordingServers{body: io.MultiReader(strings.NewReader(begun), answer), end: func() { answer.ended.Store(true) }}
			f.forwarder.sender = servers
			w, failure := f.serve("once", "warm", 0)
			if failure == nil || failure.Reason != verdict.ReasonBroken || !strings.Contains(failure.Detail, "larger than") {
				t.Errorf("failure %v", failure)
			}
			if taken := answer.taken.Load(); taken > 2*maxEvent || w.Body.Len() > 2*maxEvent {
				t.Errorf("%d bytes taken from the server, %d relayed", taken, w.Body.Len())
			}
			if servers.recorded != 1 {
				t.Errorf("recorded %d times", servers.recorded)
			}
		})
	}
}

// TestLongStreamPasses guards against a limit on whole streams.
func TestLongStreamPasses(t *testing.T) {
	var stream, events strings.Builder
	for i := range 4 {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", maxEvent/2))
		stream.WriteString(strings.Repeat(": comment\n\n", maxEvent/64) + event)
		events.WriteString(event)
	}
	w, failure := newFixture(t, reply{status: http.StatusOK, events: true, body: stream.String()}).serve("once", "warm", 0)
	if failure != nil || w.Body.String() != events.String() {
		t.Errorf("%d of %d bytes relayed, %v", w.Body.Len(), events.Len(), failure)
	}
}

// TestEventsWithoutEndTakeProcessor guards against streams that are relayed as fast as they come, so that a server whose
// events have no end takes the processor from all other requests.
func TestEventsWithoutEndTakeProcessor(t *testing.T) {
	const size = 2 << 20
	var stream strings.Builder
	for i := 1; stream.Len() < size; i++ {
		fmt.Fprintf(&stream, "id: %d\ndata: x\n\n", i)
	}
	for name, c := range map[string]struct {
		size    int
		fastest time.Duration
	}{
		"usual size":           {size / 8, 0},
		"beyond any plausible": {size, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole := stream.String()[:c.size]
				whole = whole[:strings.LastIndex(whole, "\n\n")+2]
				f, begun := newFixture(t, reply{status: http.StatusOK, events: true, body: whole}), time.Now()
				w, failure := f.serve("once", "warm", time.Minute)
				took := time.Since(begun)
				if failure != nil || w.Body.String() != whole {
					t.Errorf("%d of %d bytes relayed, %v", w.Body.Len(), len(whole), failure)
				}
				if took < c.fastest || c.fastest == 0 && took > 0 {
					t.Errorf("%d bytes of events relayed in %v, want %v or more", len(whole), took, c.fastest)
				}
			})
		})
	}
}
