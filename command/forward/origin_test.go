package forward

import (
	"context"
	"testing"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
)

// staleOrigins are certain of one version, while other instances answer with more.
type staleOrigins struct{ answer OriginAnswer }

func (staleOrigins) Versions(string) ([]string, bool)                    { return []string{"v1"}, true }
func (staleOrigins) Record(string, skew.Origin)                          {}
func (o staleOrigins) Find(context.Context, string, string) OriginAnswer { return o.answer }

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
