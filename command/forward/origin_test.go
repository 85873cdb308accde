package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
)

// staleOrigins are certain of one version, while other instances answer with more.
type staleOrigins struct{ answer OriginAnswer }

func (staleOrigins) Versions(string) ([]string, bool)                     { return []string{"v1"}, true }
func (staleOrigins) HoldsBack(_, _ string) bool                           { return false }
func (staleOrigins) MayGiveWay() bool                                     { return true }
func (staleOrigins) RecordKept(context.Context, string, skew.Origin) bool { return true }
func (staleOrigins) Record(string, skew.Origin)                           {}
func (o staleOrigins) Find(context.Context, string, string) OriginAnswer  { return o.answer }

// TestTakeUpAsksOthers guards against streams that go on at the version that this instance takes for the only one although
// other instances know better.
func TestTakeUpAsksOthers(t *testing.T) {
	for name, test := range map[string]struct {
		answer OriginAnswer
		want   string // the server; "" for a refusal
	}{
		"nobody knows of another":        {OriginAnswer{OnlyVersion: "v1"}, "e1"},
		"its origin is another version":  {OriginAnswer{Origin: skew.Origin{Service: "llm", Version: "v2"}}, "e2"},
		"another version has been heard": {OriginAnswer{Unanswered: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reply{status: 200, events: true, body: threeEvents})
			for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
				f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Version: version, Models: map[string][]string{"warm": nil}}, time.Now())
			}
			f.forwarder.origins = staleOrigins{test.answer}
			_, failure := f.serveAfter("stream", true)
			got := ""
			if len(f.servers.attempts) > 0 {
				got = f.servers.attempts[0].Server.ID
			}
			if got != test.want || (failure == nil) != (test.want != "") {
				t.Errorf("sent to %q, %v; want %q", got, failure, test.want)
			}
		})
	}
}

// recordedOrigins know the origins that were recorded, of a service with two versions.
type recordedOrigins struct {
	known      map[string]skew.Origin
	unanswered bool
}

func (recordedOrigins) Versions(string) ([]string, bool)                     { return []string{"v1", "v2"}, true }
func (recordedOrigins) HoldsBack(_, _ string) bool                           { return false }
func (recordedOrigins) MayGiveWay() bool                                     { return true }
func (recordedOrigins) RecordKept(context.Context, string, skew.Origin) bool { return true }
func (o recordedOrigins) Record(attempt string, origin skew.Origin)          { o.known[attempt] = origin }
func (o recordedOrigins) Find(_ context.Context, attempt, _ string) OriginAnswer {
	return OriginAnswer{Origin: o.known[attempt], Unanswered: o.unanswered}
}

// newChangedRoute returns a fixture with servers of two versions, at a service that a changed route leads to.
func newChangedRoute(t *testing.T, replies ...reply) (*fixture, *recordedOrigins) {
	f := newFixture(t, replies...)
	for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
		f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Version: version, Models: map[string][]string{"warm": nil}}, time.Now())
	}
	origins := &recordedOrigins{known: map[string]skew.Origin{"before": {Service: "earlier", Version: "v1"}}}
	f.forwarder.origins = origins
	return f, origins
}

// TestStreamGoesOnAtOneVersionElsewhere guards against a stream that is taken up several times at a service that a changed
// route leads to, and gets events of two of that service's versions.
func TestStreamGoesOnAtOneVersionElsewhere(t *testing.T) {
	const takeUps = 20
	f, _ := newChangedRoute(t, slices.Repeat([]reply{{status: 200, events: true, body: threeEvents}}, takeUps)...)
	sent := map[string]int{}
	for range takeUps {
		f.serveAfter("stream", true)
		sent[f.servers.attempts[len(f.servers.attempts)-1].Server.Version]++
	}
	if len(sent) != 1 || len(f.servers.attempts) != takeUps {
		t.Errorf("take-ups by version: %v, want one version", sent)
	}
}

// TestUnansweredContinuationIsRefused guards against a version that is guessed for a stream that may have gone on at
// another one.
func TestUnansweredContinuationIsRefused(t *testing.T) {
	f, origins := newChangedRoute(t, reply{status: 200, events: true, body: threeEvents})
	origins.unanswered = true
	if _, failure := f.serveAfter("stream", true); failure == nil || failure.RetryAfter == 0 || len(f.servers.attempts) > 0 {
		t.Errorf("%v, %d sends; want a refusal with a Retry-After", failure, len(f.servers.attempts))
	}
}
