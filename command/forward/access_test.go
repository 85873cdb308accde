package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeAccess knows the directory's configuration, and lets everything run up to its limit.
type fakeAccess struct {
	dir    *directory.Directory
	known  access.Knowledge
	policy access.Policy
	// left is what the workspace may still ask for; drawn and given what was taken and came
	// back.
	left, drawn, given float64
}

func (f *fakeAccess) Current() (*serving.Config, access.Knowledge) { return f.dir.Config(), f.known }
func (f *fakeAccess) Policy() access.Policy                        { return f.policy }
func (f *fakeAccess) Draw(_ context.Context, w *serving.Workspace, cost float64) (func(), *verdict.Failure) {
	if f.left < cost {
		return nil, verdict.Refuse(verdict.ReasonOverLimit, "workspace %s", w.Name).After(time.Second)
	}
	f.left -= cost
	f.drawn += cost
	return func() { f.given += cost }, nil
}

const testKey = "a secret of its own"

// guard has requests need keys, but for those of the route "safe".
func (f *fixture) guardRoutes(t *testing.T) {
	t.Helper()
	config := *f.dir.Config()
	config.Version++
	config.Routes = append([]serving.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Public = config.Routes[i].Name == "safe"
		config.Routes[i].Priority = 1
	}
	config.Workspaces = []serving.Workspace{{
		Name: "w1", Keys: []serving.KeyDigest{serving.DigestKey(testKey)}, Ranked: true, Priority: 3,
		Limit: serving.Limit{Tokens: true, Rate: 100, Burst: 100, Plain: 7},
	}}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	f.dir.ApplyConfig(&config)
}

func keyed(route string, key serving.Credential) *serving.Request {
	return &serving.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x", Header: http.Header{}, Arrived: time.Now(),
		Timeout: time.Second, Credential: key,
	}
}

// TestWorkspaceOfRequest: a request runs as its workspace's, with its rank; what did not reach
// a server is given back; and one that may not run meets no server.
func TestWorkspaceOfRequest(t *testing.T) {
	key := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey(testKey)}
	other := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey("another")}
	sized := keyed("unsafe", key)
	sized.Sized, sized.PromptTokens, sized.OutputTokens = true, 30, 12
	unreadable := keyed("unsafe", key)
	unreadable.Sized, unreadable.BadSize = true, true
	for name, c := range map[string]struct {
		request     *serving.Request
		reply       reply
		left        float64
		reason      verdict.Reason
		workspace   string
		drawn, back float64
	}{
		"key known":        {keyed("unsafe", key), reply{status: 200}, 100, "", "w1", 7, 0},
		"size counts":      {sized, reply{status: 200}, 100, "", "w1", 42, 0},
		"size unreadable":  {unreadable, reply{status: 200}, 100, verdict.ReasonInvalid, "", 0, 0},
		"never ran":        {keyed("unsafe", key), reply{status: 503, notRun: true}, 100, verdict.ReasonBackend, "w1", 7, 7},
		"over the limit":   {keyed("unsafe", key), reply{status: 200}, 6, verdict.ReasonOverLimit, "", 0, 0},
		"another key":      {keyed("unsafe", other), reply{status: 200}, 100, verdict.ReasonUnauthorized, "", 0, 0},
		"no key":           {keyed("unsafe", serving.Credential{}), reply{status: 200}, 100, verdict.ReasonUnauthorized, "", 0, 0},
		"public, no key":   {keyed("safe", serving.Credential{}), reply{status: 200}, 0, "", "", 0, 0},
		"public, with key": {keyed("safe", key), reply{status: 200}, 0, "", "", 0, 0},
	} {
		f := newFixture(t, c.reply)
		f.guardRoutes(t)
		f.access.left = c.left
		failure := f.forwarder.Serve(t.Context(), c.request, httptest.NewRecorder())
		if got := failureReason(failure); got != c.reason {
			t.Errorf("%s: %v, want reason %q", name, failure, c.reason)
		}
		if f.access.drawn != c.drawn || f.access.given != c.back {
			t.Errorf("%s: %v drawn and %v given back, want %v and %v", name, f.access.drawn, f.access.given, c.drawn, c.back)
		}
		refused := c.reason != "" && c.reason != verdict.ReasonBackend
		if refused != (len(f.servers.attempts) == 0) {
			t.Errorf("%s: %d sends", name, len(f.servers.attempts))
		}
		for _, a := range f.servers.attempts {
			if a.Workspace != c.workspace || !a.Guarded {
				t.Errorf("%s: sent as %q, guarded %v; want %q", name, a.Workspace, a.Guarded, c.workspace)
			}
			if c.workspace != "" && a.Urgency != 3 {
				t.Errorf("%s: sent with urgency %d and not its workspace's", name, a.Urgency)
			}
		}
	}
}

func failureReason(f *verdict.Failure) verdict.Reason {
	if f == nil {
		return ""
	}
	return f.Reason
}
