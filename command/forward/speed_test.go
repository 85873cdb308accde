package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/serving"
)

// pacedServer answers with a stream of events, one each interval.
type pacedServer struct {
	events   int
	interval time.Duration
	// broken makes the stream break off after its events.
	broken bool
}

func (p pacedServer) Send(context.Context, serving.Attempt) (*serving.Response, error) {
	read, write := io.Pipe()
	go func() {
		for n := range p.events {
			time.Sleep(p.interval)
			fmt.Fprintf(write, "id: %d\ndata: x\n\n", n+1)
		}
		if p.broken {
			write.CloseWithError(io.ErrUnexpectedEOF)
		}
		write.Close()
	}()
	return &serving.Response{Status: 200, Header: http.Header{}, Body: read, Events: true}, nil
}

// TestSpeedSamples: a complete stream is a sample of its engine and model by the time between its events, whatever the
// client announced about tokens. A stream that is short or breaks off is none.
func TestSpeedSamples(t *testing.T) {
	tests := map[string]struct {
		server  pacedServer
		samples int
	}{
		"complete":  {pacedServer{events: 10, interval: 20 * time.Millisecond}, 1},
		"long":      {pacedServer{events: 100, interval: 20 * time.Millisecond}, 1},
		"short":     {pacedServer{events: 3, interval: 20 * time.Millisecond}, 0},
		"no events": {pacedServer{}, 0},
		"broken":    {pacedServer{events: 10, interval: 20 * time.Millisecond, broken: true}, 0},
	}
	for name, test := range tests {
		for _, tokens := range []int{-1 << 40, 0, 80, 1 << 40} {
			t.Run(fmt.Sprintf("%s, %d tokens", name, tokens), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, reply{})
					f.forwarder.sender = test.server
					r := &serving.Request{
						ID: "r1", Method: http.MethodPost, Host: "h", Target: "/once/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"},
						Arrived: time.Now(), PromptTokens: tokens, OutputTokens: tokens, HasTokenCount: true,
					}
					f.forwarder.Serve(context.Background(), r, newDiscardWriter())
					samples := f.forwarder.balancer.TakeSpeedSamples()
					if len(samples) != test.samples {
						t.Fatalf("%+v, want %d", samples, test.samples)
					}
					if len(samples) > 0 && (samples[0].EventMicros != 20000 || samples[0].Model != "warm" || !strings.HasPrefix(samples[0].Engine, "e")) {
						t.Errorf("%+v, want 20 ms", samples[0])
					}
				})
			})
		}
	}
}

// discardWriter is a client that takes its answer at once.
type discardWriter struct{ header http.Header }

func newDiscardWriter() discardWriter                    { return discardWriter{http.Header{}} }
func (w discardWriter) Header() http.Header              { return w.header }
func (discardWriter) Write(p []byte) (int, error)        { return len(p), nil }
func (discardWriter) WriteHeader(int)                    {}
func (discardWriter) FlushError() error                  { return nil }
func (discardWriter) SetWriteDeadline(_ time.Time) error { return nil }
