package access

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// TestDecide: who is served, and what the others are told, by their key and by how old the word
// of it is.
func TestDecide(t *testing.T) {
	config := &serving.Config{Version: 1, Workspaces: []serving.Workspace{{Name: "w", Keys: []serving.KeyDigest{serving.DigestKey("k")}}}}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	key := func(k string) serving.Credential {
		return serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey(k)}
	}
	closed := Policy{FailClosed: true, Bound: 5 * time.Second}
	const now, refused = "", string(verdict.ReasonPlatform)
	for name, c := range map[string]struct {
		credential serving.Credential
		public     bool
		known      Knowledge
		policy     Policy
		want       string
	}{
		"known key":                          {key("k"), false, Knowledge{}, closed, now},
		"known key, old word":                {key("k"), false, Knowledge{Age: 4 * time.Second}, closed, now},
		"known key, too old a word":          {key("k"), false, Knowledge{Age: 4500 * time.Millisecond}, closed, refused},
		"known key, nothing ever heard":      {key("k"), false, Knowledge{Age: 1 << 62}, closed, refused},
		"known key, cut off, fails open":     {key("k"), false, Knowledge{Age: time.Hour}, Policy{}, now},
		"unknown key":                        {key("x"), false, Knowledge{Age: 2 * time.Second}, closed, string(verdict.ReasonUnauthorized)},
		"unknown key, old word":              {key("x"), false, Knowledge{Age: 3 * time.Second}, closed, refused},
		"unknown key, cut off, fails open":   {key("x"), false, Knowledge{Age: time.Hour}, Policy{}, refused},
		"unknown key, newer word on its way": {key("x"), false, Knowledge{Newer: true}, closed, refused},
		"empty digest is no key":             {key(""), false, Knowledge{}, closed, string(verdict.ReasonUnauthorized)},
		"no key":                             {serving.Credential{}, false, Knowledge{}, closed, string(verdict.ReasonUnauthorized)},
		"two keys":                           {serving.Credential{Form: serving.KeyRepeated}, false, Knowledge{}, closed, string(verdict.ReasonUnauthorized)},
		"public":                             {serving.Credential{}, true, Knowledge{Age: time.Hour}, closed, now},
	} {
		workspace, failure := Decide(config, &serving.Route{Public: c.public}, c.credential, c.known, c.policy)
		got := ""
		if failure != nil {
			got = string(failure.Reason)
			if failure.Verdict != verdict.NotRun {
				t.Errorf("%s: %s", name, failure.Verdict)
			}
			if (failure.RetryAfter == 0) != (failure.Reason == verdict.ReasonUnauthorized) {
				t.Errorf("%s: come back after %s", name, failure.RetryAfter)
			}
		}
		if got != c.want || failure == nil && !c.public && workspace == nil {
			t.Errorf("%s: %v, %v; want %q", name, workspace, failure, c.want)
		}
	}
}

// TestNoWorkspaces: without workspaces no request needs a key; with an empty list nobody has one.
func TestNoWorkspaces(t *testing.T) {
	open := &serving.Config{Version: 1}
	closed := &serving.Config{Version: 1, Workspaces: []serving.Workspace{}}
	for _, c := range []*serving.Config{open, closed} {
		if err := c.Index(); err != nil {
			t.Fatal(err)
		}
	}
	policy := Policy{FailClosed: true, Bound: time.Second}
	if _, failure := Decide(open, &serving.Route{}, serving.Credential{}, Knowledge{Age: time.Hour}, policy); failure != nil {
		t.Errorf("no workspaces: %v", failure)
	}
	if _, failure := Decide(closed, &serving.Route{}, serving.Credential{}, Knowledge{}, policy); failure == nil {
		t.Error("an empty list of workspaces: a request without a key runs")
	}
}
