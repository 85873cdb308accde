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

// socketFleet is one instance in front of one engine, connected over real sockets.
type socketFleet struct {
	engine *backend.HTTP
	client martenportv1connect.InferenceServiceClient
}

func newSocketFleet(b *testing.B) socketFleet {
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
	w := socketFleet{
		engine: backend.NewHTTP(engineServer.URL, &http.Client{Transport: backend.NewTransport()}, ""),
		client: martenportv1connect.NewInferenceServiceClient(&http.Client{Transport: backend.NewTransport()}, "http://"+d.CallerAddress()),
	}
	w.declare(b, d, engineServer.Listener.Addr())
	return w
}

// declare accepts a declaration with the engine and waits until the model is served.
func (w socketFleet) declare(b *testing.B, d *Daemon, engine net.Addr) {
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
		if w.sendThroughInstance(b.Context(), 1) == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("model not served after 200 attempts")
}

// benchPrompt is 1 KiB long.
var benchPrompt = strings.Repeat("wedding ", 128)

// sendThroughInstance sends one request through the instance and streams the answer.
func (w socketFleet) sendThroughInstance(ctx context.Context, tokens int) error {
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

// sendDirect sends one request directly to the engine.
func (w socketFleet) sendDirect(ctx context.Context, id string, tokens int) error {
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

// BenchmarkDispatch compares a request sent through the instance with one sent
// directly to the engine. CPU time is that of the whole process, including the engine
// and the client, so the difference is the overhead of the instance.
func BenchmarkDispatch(b *testing.B) {
	w := newSocketFleet(b)
	for _, tokens := range []int{1, 256} {
		name := map[int]string{1: "tokens=1", 256: "tokens=256"}[tokens]
		b.Run(name+"/direct", func(b *testing.B) {
			measure(b, func(id string) error { return w.sendDirect(b.Context(), id, tokens) })
		})
		b.Run(name+"/through", func(b *testing.B) {
			measure(b, func(string) error { return w.sendThroughInstance(b.Context(), tokens) })
		})
	}
}

// measure runs the benchmark loop and reports the CPU time per operation.
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
