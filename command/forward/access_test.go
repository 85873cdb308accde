package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// fakeAccess uses the configuration of the directory, and admits requests up to a limit.
type fakeAccess struct {
	dir    *directory.Directory
	known  access.Freshness
	policy access.Policy
	// remaining is what the workspace may still spend, drawn the sum of what was drawn, and
	// returned the sum of what was refunded.
	remaining, drawn, returned float64
}

func (f *fakeAccess) Current() (*serving.Config, access.Freshness) { return f.dir.Config(), f.known }
func (f *fakeAccess) Policy() access.Policy                        { return f.policy }
func (f *fakeAccess) Draw(_ context.Context, w *serving.Workspace, d quota.Draw) (func(), *verdict.Failure) {
	cost := d.Cost
	if f.remaining < cost {
		return nil, verdict.Refuse(verdict.ReasonOverLimit, "workspace %s", w.Name).WithRetryAfter(time.Second)
	}
	f.remaining -= cost
	f.drawn += cost
	return func() { f.returned += cost }, nil
}

const testKey = "a secret of its own"

// requireKeys applies a configuration in which all routes except "safe" need a key.
func (f *fixture) requireKeys(t *testing.T) {
	t.Helper()
	config := *f.dir.Config()
	config.Version++
	config.Routes = append([]serving.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Public = config.Routes[i].Name == "safe"
		config.Routes[i].Priority = 1
	}
	config.Workspaces = []serving.Workspace{{
		Name: "w1", Keys: []serving.KeyDigest{serving.DigestKey(testKey)}, HasPriority: true, Priority: 3,
		Limit: serving.Limit{Tokens: true, Rate: 100, Burst: 100, Plain: 7},
	}}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	f.dir.ApplyConfig(&config)
}

// keyed returns a request on a route with a credential.
func keyed(route string, key serving.Credential) *serving.Request {
	return &serving.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x", Header: http.Header{}, Arrived: time.Now(),
		Timeout: time.Second, Credential: key,
	}
}

// TestBrokenAttemptsOfWorkspaces: the same request of two workspaces, or of one whose key changed, is known by the workspace
// and not by the key.
func TestBrokenAttemptsOfWorkspaces(t *testing.T) {
	keys := []string{testKey, "its second key", "a key of another workspace"}
	var seen []serving.Fingerprint
	for _, key := range keys {
		f := newFixture(t, reply{failure: mayHaveRun})
		f.requireKeys(t)
		config := *f.dir.Config()
		config.Version++
		config.Workspaces = []serving.Workspace{
			{Name: "w1", Keys: []serving.KeyDigest{serving.DigestKey(keys[0]), serving.DigestKey(keys[1])}},
			{Name: "w2", Keys: []serving.KeyDigest{serving.DigestKey(keys[2])}},
		}
		if err := config.Index(); err != nil {
			t.Fatal(err)
		}
		f.dir.ApplyConfig(&config)
		f.access.remaining = 1
		r := keyed("unsafe", serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey(key)})
		r.Fingerprint = serving.FingerprintOf(r)
		_ = f.forwarder.Serve(context.Background(), r, httptest.NewRecorder())
		if len(f.guard.brokenAttempts) != 1 {
			t.Fatalf("%d broken attempts, want 1", len(f.guard.brokenAttempts))
		}
		seen = append(seen, f.guard.brokenAttempts[0].Fingerprint)
	}
	if seen[0] != seen[1] || seen[0] == seen[2] {
		t.Errorf("fingerprints %v: want the first two equal, and the third one different", seen)
	}
}

// TestRequestWorkspace: a request runs with the name and the priority of its workspace, a draw is
// refunded if the request did not reach a server, and a request without permission is not sent to
// any server.
func TestRequestWorkspace(t *testing.T) {
	key := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey(testKey)}
	other := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey("another")}
	counted := keyed("unsafe", key)
	counted.HasTokenCount, counted.PromptTokens, counted.OutputTokens = true, 30, 12
	invalid := keyed("unsafe", key)
	invalid.HasTokenCount, invalid.InvalidTokenCount = true, true
	for name, c := range map[string]struct {
		request     *serving.Request
		reply       reply
		limit       float64
		reason      verdict.Reason
		workspace   string
		drawn, back float64
	}{
		"key known":        {keyed("unsafe", key), reply{status: 200}, 100, "", "w1", 7, 0},
		"size counts":      {counted, reply{status: 200}, 100, "", "w1", 42, 0},
		"size unreadable":  {invalid, reply{status: 200}, 100, verdict.ReasonInvalid, "", 0, 0},
		"never ran":        {keyed("unsafe", key), reply{status: 503, notExecuted: true}, 100, verdict.ReasonBackend, "w1", 7, 7},
		"over the limit":   {keyed("unsafe", key), reply{status: 200}, 6, verdict.ReasonOverLimit, "", 0, 0},
		"another key":      {keyed("unsafe", other), reply{status: 200}, 100, verdict.ReasonUnauthorized, "", 0, 0},
		"no key":           {keyed("unsafe", serving.Credential{}), reply{status: 200}, 100, verdict.ReasonUnauthorized, "", 0, 0},
		"public, no key":   {keyed("safe", serving.Credential{}), reply{status: 200}, 0, "", "", 0, 0},
		"public, with key": {keyed("safe", key), reply{status: 200}, 0, "", "", 0, 0},
	} {
		f := newFixture(t, c.reply)
		f.requireKeys(t)
		f.access.remaining = c.limit
		failure := f.forwarder.Serve(t.Context(), c.request, httptest.NewRecorder())
		if got := failureReason(failure); got != c.reason {
			t.Errorf("%s: %v, want reason %q", name, failure, c.reason)
		}
		if f.access.drawn != c.drawn || f.access.returned != c.back {
			t.Errorf("%s: %v drawn and %v given back, want %v and %v", name, f.access.drawn, f.access.returned, c.drawn, c.back)
		}
		refused := c.reason != "" && c.reason != verdict.ReasonBackend
		if refused != (len(f.servers.attempts) == 0) {
			t.Errorf("%s: %d sends", name, len(f.servers.attempts))
		}
		for _, a := range f.servers.attempts {
			if a.Workspace != c.workspace || !a.KeysRequired {
				t.Errorf("%s: sent as %q, keys required %v; want %q", name, a.Workspace, a.KeysRequired, c.workspace)
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
