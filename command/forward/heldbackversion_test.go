package forward

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// heldBackOrigins hold one version back. No other instance hears of origins if unheard is set, which is known if known is set.
type heldBackOrigins struct {
	fakeOrigins
	version        string
	unheard, known bool
}

func (o heldBackOrigins) MayGiveWay() bool { return !o.known }

func (o heldBackOrigins) RecordKept(context.Context, string, skew.Origin) bool { return !o.unheard }

func (o heldBackOrigins) HoldsBack(_, version string) bool { return version == o.version }

// TestStreamBeginsAtVersionThatIsHeldBack guards against streams that begin at a version that no mark names although they can
// begin at another one, and against those that wait for another one.
func TestStreamBeginsAtVersionThatIsHeldBack(t *testing.T) {
	const streams = 40 // all at one of two servers, chosen at random, once in 5e11 runs
	for name, test := range map[string]struct {
		held  string
		ready bool // whether e1, of version v1, has the model
		route string
		want  []string // the servers that streams are sent to
	}{
		"one of two":             {"v2", true, "stream", []string{"e1"}},
		"the other one":          {"v1", true, "stream", []string{"e2"}},
		"the only one":           {"v2", false, "stream", []string{"e2"}},
		"cannot be resumed":      {"v2", true, "once", []string{"e1", "e2"}},
		"no version held back":   {"", true, "stream", []string{"e1", "e2"}},
		"a version of no server": {"v3", true, "stream", []string{"e1", "e2"}},
	} {
		t.Run(name, func(t *testing.T) {
			replies := make([]reply, streams)
			for i := range replies {
				replies[i] = reply{status: 200, events: true, body: threeEvents}
			}
			f := newFixture(t, replies...)
			for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
				loaded := map[string][]string{"warm": nil}
				if id == "e1" && !test.ready {
					loaded = nil
				}
				f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Version: version, Models: loaded}, time.Now())
			}
			f.forwarder.origins = heldBackOrigins{version: test.held}
			for range streams {
				if _, failure := f.serveAfter(test.route, false); failure != nil {
					t.Fatal(failure)
				}
			}
			sent := map[string]bool{}
			for _, a := range f.servers.attempts {
				sent[a.Server.ID] = true
			}
			if got := slices.Sorted(maps.Keys(sent)); !slices.Equal(got, test.want) {
				t.Errorf("sent to %v, want %v", got, test.want)
			}
		})
	}
}

// TestStreamThatNobodyHearsOf guards against streams that begin at a version that no mark names while no other instance knows
// that: those that clients take them up at may be certain of another version.
func TestStreamThatNobodyHearsOf(t *testing.T) {
	for name, test := range map[string]struct {
		origins heldBackOrigins
		sends   int
		body    string
	}{
		"heard of":         {heldBackOrigins{version: "v2"}, 1, threeEvents},
		"not heard of":     {heldBackOrigins{version: "v2", unheard: true}, 1, ""},
		"known before":     {heldBackOrigins{version: "v2", unheard: true, known: true}, 0, ""},
		"not held back":    {heldBackOrigins{version: "v1", unheard: true}, 1, threeEvents},
		"no longer needed": {heldBackOrigins{version: "", unheard: true, known: true}, 1, threeEvents},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
			f.dir.ApplyServer(serving.Server{ID: "e1", Service: "llm", Address: "e1:1", Revision: 3, Version: "v1"}, time.Now())
			f.dir.ApplyServer(serving.Server{ID: "e2", Service: "llm", Address: "e2:1", Revision: 3, Version: "v2", Models: map[string][]string{"warm": nil}}, time.Now())
			f.forwarder.origins = test.origins
			w, failure := f.serve("stream", "warm", 300*time.Millisecond)
			if got := w.Body.String(); got != test.body || (failure == nil) != (got != "") || len(f.servers.attempts) != test.sends {
				t.Errorf("%d sends, client got %q, %v", len(f.servers.attempts), got, failure)
			}
		})
	}
}

// TestStreamThatNobodyHearsOfBeginsElsewhere guards against a stream that begins at another version than an origin names that
// was sent for it and may still arrive.
func TestStreamThatNobodyHearsOfBeginsElsewhere(t *testing.T) {
	events := reply{status: 200, events: true, body: threeEvents}
	f := newFixture(t, events, events, events)
	add := func(id, version string, revision store.Revision, models map[string][]string) {
		f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: revision, Version: version, Models: models}, time.Now())
	}
	loaded := map[string][]string{"warm": nil}
	add("e1", "v1", 3, nil)
	add("e2", "v2", 3, loaded)
	add("e3", "v2", 3, loaded)
	f.servers.onSend = func(serving.Attempt) { add("e1", "v1", 4, loaded) }
	f.forwarder.origins = heldBackOrigins{version: "v2", unheard: true}
	w, failure := f.serve("stream", "warm", 300*time.Millisecond)
	if got := w.Body.String(); got != "" || failure == nil || len(f.servers.attempts) < 2 {
		t.Errorf("%d sends, client got %q, %v; want a second send and nothing", len(f.servers.attempts), got, failure)
	}
	for _, a := range f.servers.attempts {
		if a.Server.ID == "e1" {
			t.Error("sent to a server of the other version")
		}
	}
}
