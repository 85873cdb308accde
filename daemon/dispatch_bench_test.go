package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/standin"
)

// wired is one instance over real sockets before one engine.
type wired struct {
	engine *backend.HTTP
	client martenportv1connect.InferenceServiceClient
}

func newWired(b *testing.B) wired {
	b.Helper()
	platformServer := httptest.NewServer(standin.NewPlatform().Handler())
	b.Cleanup(platformServer.Close)
	engineServer := httptest.NewServer(standin.NewEngine(standin.EngineParams{
		Name: "e", MemoryBytes: 80 << 30, Fencing: true, StepTime: time.Nanosecond, MaxBatch: 1024,
		Speeds: standin.Speeds{backend.TierRemote: 1e15}, Weights: standin.NewWeightStore(1000, 100),
	}).Handler())
	b.Cleanup(engineServer.Close)
	s := testSettings("i", "d0")
	s.PlatformURL, s.Tick, s.Settle = platformServer.URL, 100*time.Millisecond, 0
	d := runDaemon(b, s)
	w := wired{
		engine: backend.NewHTTP(engineServer.URL, &http.Client{Transport: backend.NewTransport()}, ""),
		client: martenportv1connect.NewInferenceServiceClient(&http.Client{Transport: backend.NewTransport()}, "http://"+d.CallerAddress()),
	}
	w.declare(b, d, engineServer.Listener.Addr())
	return w
}

func (w wired) declare(b *testing.B, d *Daemon, engine net.Addr) {
	b.Helper()
	source := []byte(`failureDomains: [d0]
tailWeight: 1
weightStore: {startsPerSecond: 3, streams: 4}
engines:
  - {name: e, failureDomain: d0, address: "` + engine.String() + `", memory: 80GiB, fencing: true}
models:
` + oneReplica)
	plan, err := d.intents.Plan(b.Context(), source)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := d.intents.Confirm(b.Context(), plan.ID, plan.BaseGeneration, source); err != nil {
		b.Fatal(err)
	}
	for range 200 {
		if w.through(b.Context(), 1) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the model was not served")
}

// benchPrompt is a kilobyte.
var benchPrompt = strings.Repeat("wedding ", 128)

// through sends one request through the instance, streaming the answer.
func (w wired) through(ctx context.Context, tokens int) error {
	stream, err := w.client.GenerateStream(ctx, connect.NewRequest(&martenportv1.GenerateRequest{
		Model: "caption", Prompt: benchPrompt, MaxTokens: int32(tokens), Idempotent: true,
	}))
	if err != nil {
		return err
	}
	for stream.Receive() {
	}
	_ = stream.Close()
	return stream.Err()
}

// direct sends one request to the engine.
func (w wired) direct(ctx context.Context, id string, tokens int) error {
	s, err := w.engine.Generate(ctx, backend.Attempt{
		Unit: backend.Unit{Model: "caption", Version: "1"}, ID: id, Prompt: benchPrompt, MaxTokens: tokens,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		t, err := s.Next()
		if err != nil || t.End {
			return err
		}
	}
}

// BenchmarkDispatch compares a request through the instance with one sent to
// the engine directly; processor time is of the whole process, engine and
// client included, so that the difference is what the instance adds.
func BenchmarkDispatch(b *testing.B) {
	w := newWired(b)
	for _, tokens := range []int{1, 256} {
		name := map[int]string{1: "tokens=1", 256: "tokens=256"}[tokens]
		b.Run(name+"/direct", func(b *testing.B) {
			measure(b, func(id string) error { return w.direct(b.Context(), id, tokens) })
		})
		b.Run(name+"/through", func(b *testing.B) {
			measure(b, func(string) error { return w.through(b.Context(), tokens) })
		})
	}
}

func measure(b *testing.B, run func(id string) error) {
	b.ReportAllocs()
	before := processorTime(b)
	n := 0
	for b.Loop() {
		n++
		if err := run(b.Name() + time.Now().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(n), "cpu-us/op")
}
