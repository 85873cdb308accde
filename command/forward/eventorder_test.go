package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestEventsOfTwoRunsAreJoined guards against a stream that goes on at a server which begins anew or leaves events out, and
// against events that come twice or step back.
func TestEventsOfTwoRunsAreJoined(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := map[string]struct {
		route       string
		first, then string
		lastEvent   string
		body        string
		complete    bool
	}{
		"goes on":                       {"stream", begun, "id: 3\ndata: c\n\n", "", begun + "id: 3\ndata: c\n\n", true},
		"goes on with an overlap":       {"stream", begun, threeEvents, "", threeEvents, true},
		"ends after the last event":     {"stream", begun, "", "", begun, true},
		"begins anew":                   {"stream", begun, "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", "", begun, false},
		"begins anew without the last":  {"stream", begun, "id: 1\ndata: x\n\nid: 3\ndata: z\n\n", "", begun, false},
		"leaves an event out":           {"stream", begun, "id: 4\ndata: d\n\n", "", begun, false},
		"IDs do not count the events":   {"stream", "id: 5\ndata: a\n\nid: 9\ndata: b\n\n", "id: 14\ndata: c\n\n", "", "id: 5\ndata: a\n\nid: 9\ndata: b\n\nid: 14\ndata: c\n\n", true},
		"events without IDs":            {"stream", "data: a\n\n", "data: a\n\ndata: b\n\n", "", "", false},
		"the same run, with an overlap": {"once", begun, "id: 2\ndata: other\n\nid: 3\ndata: c\n\n", "", threeEvents, true},
		"the same run, with a gap":      {"once", begun, "id: 4\ndata: d\n\n", "", begun, false},
		"taken up":                      {"stream", "id: 8\ndata: h\n\n", "id: 9\ndata: i\n\n", "7", "id: 8\ndata: h\n\nid: 9\ndata: i\n\n", true},
		"taken up, begins anew":         {"stream", "id: 1\ndata: x\n\nid: 7\ndata: y\n\nid: 8\ndata: z\n\n", "id: 8\ndata: h\n\n", "7", "id: 8\ndata: h\n\n", true},
		"begins anew within a part":     {"stream", begun + "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", "id: 3\ndata: c\n\n", "", threeEvents, true},
		"steps back, then goes on":      {"stream", begun + "id: 1\ndata: a\n\nid: 3\ndata: z\n\n", "id: 3\ndata: c\n\n", "", threeEvents, true},
		"repeats all events, then ends": {"stream", begun, begun, "", begun, true},
		"ends before the last event":    {"stream", begun, "id: 1\ndata: x\n\n", "", begun, false},
		"the same run, ends before it":  {"once", begun, "id: 1\ndata: a\n\n", "", begun, false},
		"taken up, ends before it":      {"stream", "", "id: 6\ndata: x\n\n", "7", "", false},
		"steps back, then ends":         {"stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 1\ndata: x\n\n", "", begun, false},
		"steps back":                    {"stream", begun + "id: 1\ndata: x\n\n", "id: 3\ndata: c\n\n", "", threeEvents, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture(t, &fakeMemory{state: serving.RunGone},
				reply{status: 200, events: true, body: test.first, broken: true}, reply{status: 200, events: true, body: test.then})
			w := httptest.NewRecorder()
			r := &serving.Request{
				ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + test.route + "/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"},
				Arrived: time.Now(), LastEventID: test.lastEvent,
			}
			failure := f.forwarder.Serve(t.Context(), r, w)
			if complete := failure == nil; complete != test.complete || w.Body.String() != test.body {
				t.Errorf("client got %q, complete %t; want %q, %t: %v", w.Body.String(), complete, test.body, test.complete, failure)
			}
		})
	}
}
