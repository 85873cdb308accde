package access

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// TestAuthorize: whether a request is served or how it is refused depends on its key and on the age
// of the knowledge about keys.
func TestAuthorize(t *testing.T) {
	config := &serving.Config{Version: 1, Workspaces: []serving.Workspace{{Name: "w", Keys: []serving.KeyDigest{serving.DigestKey("k")}}}}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	key := func(k string) serving.Credential {
		return serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey(k)}
	}
	failClosed := Policy{FailClosed: true, Bound: 5 * time.Second}
	const allowed, refused = "", string(verdict.ReasonPlatform)
	for name, c := range map[string]struct {
		credential serving.Credential
		public     bool
		freshness  Freshness
		policy     Policy
		want       string
	}{
		"known key":                          {key("k"), false, Freshness{}, failClosed, allowed},
		"known key, old word":                {key("k"), false, Freshness{Age: 4 * time.Second}, failClosed, allowed},
		"known key, too old a word":          {key("k"), false, Freshness{Age: 4500 * time.Millisecond}, failClosed, refused},
		"known key, nothing ever heard":      {key("k"), false, Freshness{Age: 1 << 62}, failClosed, refused},
		"known key, cut off, fails open":     {key("k"), false, Freshness{Age: time.Hour}, Policy{}, allowed},
		"unknown key":                        {key("x"), false, Freshness{Age: 2 * time.Second}, failClosed, string(verdict.ReasonUnauthorized)},
		"unknown key, old word":              {key("x"), false, Freshness{Age: 3 * time.Second}, failClosed, refused},
		"unknown key, cut off, fails open":   {key("x"), false, Freshness{Age: time.Hour}, Policy{}, refused},
		"unknown key, newer word on its way": {key("x"), false, Freshness{NewerExists: true}, failClosed, refused},
		"empty digest is no key":             {key(""), false, Freshness{}, failClosed, string(verdict.ReasonUnauthorized)},
		"no key":                             {serving.Credential{}, false, Freshness{}, failClosed, string(verdict.ReasonUnauthorized)},
		"two keys":                           {serving.Credential{Form: serving.KeyRepeated}, false, Freshness{}, failClosed, string(verdict.ReasonUnauthorized)},
		"public":                             {serving.Credential{}, true, Freshness{Age: time.Hour}, failClosed, allowed},
	} {
		workspace, failure := Authorize(config, &serving.Route{Public: c.public}, c.credential, c.freshness, c.policy)
		got := ""
		if failure != nil {
			got = string(failure.Reason)
			if failure.Verdict != verdict.NotRun {
				t.Errorf("%s: %s", name, failure.Verdict)
			}
			if (failure.RetryAfter == 0) != (failure.Reason == verdict.ReasonUnauthorized) {
				t.Errorf("%s: retry after %s", name, failure.RetryAfter)
			}
		}
		if got != c.want || failure == nil && !c.public && workspace == nil {
			t.Errorf("%s: %v, %v; want %q", name, workspace, failure, c.want)
		}
	}
}

// TestNoWorkspaces: without a list of workspaces no request needs a key; with an empty list no key
// is valid.
func TestNoWorkspaces(t *testing.T) {
	open := &serving.Config{Version: 1}
	closed := &serving.Config{Version: 1, Workspaces: []serving.Workspace{}}
	for _, c := range []*serving.Config{open, closed} {
		if err := c.Index(); err != nil {
			t.Fatal(err)
		}
	}
	policy := Policy{FailClosed: true, Bound: time.Second}
	if _, failure := Authorize(open, &serving.Route{}, serving.Credential{}, Freshness{Age: time.Hour}, policy); failure != nil {
		t.Errorf("no workspaces: %v", failure)
	}
	if _, failure := Authorize(closed, &serving.Route{}, serving.Credential{}, Freshness{}, policy); failure == nil {
		t.Error("empty list of workspaces: a request without a key is admitted")
	}
}
