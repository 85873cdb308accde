package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/operators"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// newCore returns an instance with one declared model that is connected to a store
// only.
func newCore(t testing.TB) *Core {
	t.Helper()
	s := testSettings("i", "d0")
	s.MaxPromptBytes, s.MaxTokens, s.MaxTimeout, s.OperatorCredential = 1000, 100, time.Hour, "secret"
	c := NewCore(s, Dependencies{Store: standin.NewPlatform()}, "i:1", nil)
	accepted := &table.Accepted{Generation: 1}
	source := "failureDomains: [d0]\nweightStore: {startsPerSecond: 3, streams: 4}\nengines:\n" +
		"  - {name: e, failureDomain: d0, address: \"e:1\", memory: 80GiB, fencing: true}\nmodels:\n" + oneReplica
	if err := accepted.SetSource([]byte(source)); err != nil {
		t.Fatal(err)
	}
	if err := accepted.Parse(); err != nil {
		t.Fatal(err)
	}
	c.tables.Config.Apply(accepted)
	return c
}

// TestInvalidRequests checks that requests which exceed a limit, or cannot be served,
// are refused with NotRun, are counted, and leave no entry among running requests.
func TestInvalidRequests(t *testing.T) {
	c := newCore(t)
	long := strings.Repeat("x", 2000)
	for name, req := range map[string]*martenportv1.GenerateRequest{
		"no model":          {},
		"long model":        {Model: long},
		"unknown model":     {Model: "other"},
		"long prompt":       {Model: "caption", Prompt: long},
		"long key":          {Model: "caption", Key: long},
		"many tokens":       {Model: "caption", MaxTokens: 101},
		"negative tokens":   {Model: "caption", MaxTokens: -1},
		"negative timeout":  {Model: "caption", TimeoutMs: -1},
		"endless timeout":   {Model: "caption", TimeoutMs: 1 << 60},
		"priority":          {Model: "caption", Priority: 10},
		"unknown adapter":   {Model: "caption", Adapter: "other", TimeoutMs: 100},
		"nothing can serve": {Model: "caption", TimeoutMs: 100},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.Generate(t.Context(), req)
			if f := verdict.FromError(err); err == nil || f.Verdict != verdict.NotRun {
				t.Errorf("%v, want verdict NotRun", err)
			}
		})
	}
	if n := c.gate.Counts(); n.Accepted != n.Sum() || n.Running != 0 || n.Refused != n.Accepted {
		t.Errorf("counts %+v, want all requests refused", n)
	}
	if ids := c.running.ids(); len(ids) > 0 {
		t.Errorf("requests still registered as running: %v", ids)
	}
}

// TestOperatorCredential checks that the operators' API requires the credential,
// and that a message above the size limit is refused whatever the credential.
func TestOperatorCredential(t *testing.T) {
	server := httptest.NewServer(newCoreDaemon(t).operatorHandler())
	defer server.Close()
	for _, given := range []string{"", "wrong", "secret"} {
		client := martenportv1connect.NewOperatorServiceClient(http.DefaultClient, server.URL, connect.WithInterceptors(bearer(given)))
		_, err := client.GetStatus(t.Context(), connect.NewRequest(&martenportv1.GetStatusRequest{}))
		if (err == nil) != (given == "secret") {
			t.Errorf("status with credential %q: %v, want success with the right credential only", given, err)
		}
		_, err = client.Plan(t.Context(), connect.NewRequest(&martenportv1.PlanRequest{Declaration: make([]byte, operators.MaxMessageBytes+1)}))
		var refused *connect.Error
		if !errors.As(err, &refused) {
			t.Errorf("oversized plan with credential %q: %v, want a refusal", given, err)
		}
	}
}

func newCoreDaemon(t *testing.T) *Daemon { return &Daemon{Core: newCore(t)} }

func bearer(credential string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+credential)
			return next(ctx, req)
		}
	}
}

// FuzzGenerateRequest checks that no combination of fields lets a request outside the
// limits be accepted.
func FuzzGenerateRequest(f *testing.F) {
	c := newCore(f)
	f.Add("caption", "prompt", "key", int32(1), int64(1000), int32(1))
	f.Fuzz(func(t *testing.T, model, prompt, key string, tokens int32, timeout int64, priority int32) {
		req := &martenportv1.GenerateRequest{Model: model, Prompt: prompt, Key: key, MaxTokens: tokens, TimeoutMs: timeout, Priority: priority}
		job, err := c.generateJob(req)
		if err != nil {
			if verdict.FromError(err).Verdict != verdict.NotRun {
				t.Errorf("%v, want verdict NotRun", err)
			}
			return
		}
		if job.deadline <= 0 || job.deadline > c.settings.MaxTimeout || len(prompt) > c.settings.MaxPromptBytes || req.MaxTokens > 100 || len(key) > maxNameBytes {
			t.Errorf("request outside the limits accepted: %+v", job)
		}
	})
}
