package forward

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// heldBackOrigins hold one version back.
type heldBackOrigins struct {
	fakeOrigins
	version string
}

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
