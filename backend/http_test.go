package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/verdict"
)

// newClient returns a client of the test server.
func newClient(server *httptest.Server) *backend.HTTP {
	return backend.NewHTTP(server.URL, &http.Client{Transport: backend.NewTransport()}, "")
}

// readAll reads tokens until the end or a failure and returns their number.
func readAll(ctx context.Context, e *backend.HTTP) (int, error) {
	s, err := e.Generate(ctx, backend.Attempt{ID: "mine", MaxTokens: 3})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		t, err := s.Next()
		if err != nil || t.End {
			return n, err
		}
	}
}

// TestForeignAnswers guards against corrupted answers: one that contains tokens of
// another attempt, has gaps or repeated tokens, or lacks the end token must never be
// treated as complete.
func TestForeignAnswers(t *testing.T) {
	token := func(attempt string, sequence int) string {
		return fmt.Sprintf(`{"attempt":%q,"sequence":%d,"text":"x"}`, attempt, sequence)
	}
	end := `{"attempt":"mine","sequence":2,"end":true}`
	for name, c := range map[string]struct {
		lines []string
		whole bool
	}{
		"whole":               {[]string{token("mine", 0), token("mine", 1), end}, true},
		"another attempt's":   {[]string{token("mine", 0), token("other", 1), end}, false},
		"a gap":               {[]string{token("mine", 0), end}, false},
		"a repeated token":    {[]string{token("mine", 0), token("mine", 0), end}, false},
		"reordered":           {[]string{token("mine", 1), token("mine", 0), end}, false},
		"no end":              {[]string{token("mine", 0), token("mine", 1)}, false},
		"not JSON":            {[]string{token("mine", 0), "<html>"}, false},
		"nothing":             {nil, false},
		"an end of another's": {[]string{token("mine", 0), token("mine", 1), `{"attempt":"other","sequence":2,"end":true}`}, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for _, line := range c.lines {
					fmt.Fprintln(w, line)
				}
			}))
			defer server.Close()
			_, err := readAll(t.Context(), newClient(server))
			if c.whole != (err == nil) {
				t.Errorf("want complete answer: %t, got error %v", c.whole, err)
			}
			if err != nil && verdict.FromError(err).Verdict != verdict.MayHaveRun {
				t.Errorf("%v, want verdict MayHaveRun", err)
			}
		})
	}
}

// TestVerdictOfSending guards against false NotRun verdicts, which would allow a
// non-idempotent request to be sent twice: NotRun is returned only if no byte was
// sent or the engine asserts it.
func TestVerdictOfSending(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    verdict.Verdict
	}{
		"the engine says not run":   {status(http.StatusConflict, `{"error":"x","not_run":true}`), verdict.NotRun},
		"the engine does not say":   {status(http.StatusConflict, `{"error":"x"}`), verdict.MayHaveRun},
		"an error without a body":   {status(http.StatusInternalServerError, ``), verdict.MayHaveRun},
		"the connection breaks off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			_, err := readAll(t.Context(), newClient(server))
			if verdict.FromError(err).Verdict != c.want {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		unreachable := backend.NewHTTP("http://"+address, &http.Client{Transport: backend.NewTransport()}, "")
		if _, err := readAll(t.Context(), unreachable); verdict.FromError(err).Verdict != verdict.NotRun {
			t.Errorf("request without a listener: %v, want verdict NotRun", err)
		}
		if _, err := unreachable.Load(t.Context(), backend.Order{}); !errors.Is(err, backend.ErrRefused) {
			t.Errorf("order without a listener: %v, want ErrRefused", err)
		}
	})
}

// TestOrders checks how an engine's answers to orders are mapped to errors: missing
// credential, stale epoch, and an order for an earlier incarnation.
func TestOrders(t *testing.T) {
	engine := standin.NewEngine(standin.EngineParams{
		MemoryBytes: 1 << 30, Fencing: true, StepTime: time.Millisecond, MaxBatch: 1, Credential: "secret",
		Speeds: standin.DefaultSpeeds(), Weights: standin.NewWeightStore(10, 10),
	})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	defer engine.Restart()
	ctx := t.Context()
	if _, err := newClient(server).Fence(ctx, 1); !errors.Is(err, backend.ErrRefused) {
		t.Errorf("order without the credential: %v, want ErrRefused", err)
	}
	e := backend.NewHTTP(server.URL, http.DefaultClient, "secret")
	report, err := e.Fence(ctx, 5)
	if err != nil || report.Epoch != 5 {
		t.Fatalf("report %+v, error %v, want epoch 5", report, err)
	}
	order := backend.Order{Unit: backend.Unit{Model: "m", Version: "1"}, ID: "o1", Epoch: 4, Incarnation: report.Incarnation, MemoryBytes: 1}
	if _, err := e.Load(ctx, order); !errors.Is(err, backend.ErrStaleEpoch) {
		t.Errorf("order with an old epoch: %v, want ErrStaleEpoch", err)
	}
	order.Epoch = 5
	if ack, err := e.Load(ctx, order); err != nil || ack.Incarnation != report.Incarnation {
		t.Errorf("acknowledgement %+v, error %v, want the engine's incarnation", ack, err)
	}
	engine.Restart()
	if _, err := e.Load(ctx, order); !errors.Is(err, backend.ErrRefused) {
		t.Errorf("order for an earlier incarnation: %v, want ErrRefused", err)
	}
}
