package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
)

// Size of the burst that --once sends.
const (
	burstModels   = 10
	burstRequests = 4 // for each model at each instance
	burstTokens   = 8
)

// burst counts the outcomes of the requests.
type burst struct {
	mu                                 sync.Mutex
	requests, answered, refused, wrong int             // guarded by mu
	failed                             int             // guarded by mu
	cold                               []time.Duration // guarded by mu
}

// once sends the burst, prints one line and returns an error if a guarantee was violated.
func (f *fleet) once(ctx context.Context, w io.Writer) error {
	stopWatching := f.watchReplicas()
	b := &burst{}
	var wg sync.WaitGroup
	for _, m := range f.declared.Models[:burstModels] {
		for _, d := range f.instances {
			client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+d.CallerAddress())
			for i := range burstRequests {
				prompt := fmt.Sprintf("%s/%s/%d", m.Name, d.CallerAddress(), i)
				wg.Go(func() { b.send(ctx, client, m.Name, prompt) })
			}
		}
	}
	wg.Wait()
	overCap := stopWatching()
	return b.summary(w, f.loadOrders(), overCap, f.overcommits())
}

func (b *burst) send(ctx context.Context, client martenportv1connect.InferenceServiceClient, model, prompt string) {
	start := time.Now()
	answer, err := client.Generate(ctx, connect.NewRequest(&martenportv1.GenerateRequest{
		Model: model, Prompt: prompt, MaxTokens: burstTokens, Idempotent: true,
	}))
	elapsed := time.Since(start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	switch {
	case err == nil:
		b.answered++
		if answer.Msg.Text != expectedText(prompt) {
			b.wrong++
		}
		if answer.Msg.Cold {
			b.cold = append(b.cold, elapsed)
		}
	case verdictOf(err) == martenportv1.Verdict_VERDICT_NOT_RUN:
		b.refused++
	default:
		b.failed++
	}
}

// expectedText returns the complete response of a stand-in engine to a prompt.
func expectedText(prompt string) string {
	text := ""
	for i := range burstTokens {
		text += fmt.Sprintf("%s:%d ", prompt, i)
	}
	return text
}

func verdictOf(err error) martenportv1.Verdict {
	var protocol *connect.Error
	if !errors.As(err, &protocol) {
		return martenportv1.Verdict_VERDICT_UNSPECIFIED
	}
	for _, d := range protocol.Details() {
		if value, valueErr := d.Value(); valueErr == nil {
			if f, ok := value.(*martenportv1.Failure); ok {
				return f.Verdict
			}
		}
	}
	return martenportv1.Verdict_VERDICT_UNSPECIFIED
}

// watchReplicas counts replicas until the returned function is called. That function returns the
// highest number of replicas over a model's cap that was observed, 0 if no cap was exceeded.
func (f *fleet) watchReplicas() func() int {
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, f.overCap())
			select {
			case <-time.After(time.Millisecond):
			case <-stop:
				done <- max(highest, f.overCap())
				return
			}
		}
	}()
	return func() int {
		close(stop)
		return <-done
	}
}

func (f *fleet) overCap() int {
	replicas := map[string]int{}
	for _, e := range f.engines {
		for _, m := range e.Models() {
			replicas[m]++
		}
	}
	highest := 0
	for _, m := range f.declared.Models {
		highest = max(highest, replicas[m.Name]-m.MaxReplicas)
	}
	return highest
}

func (f *fleet) loadOrders() int {
	n := 0
	for _, e := range f.engines {
		n += e.Tally().Loads
	}
	return n
}

func (f *fleet) overcommits() int {
	n := 0
	for _, e := range f.engines {
		n += e.Tally().Overcommits
	}
	return n
}

func (b *burst) summary(w io.Writer, loads, overCap, overcommits int) error {
	slices.Sort(b.cold)
	fmt.Fprintf(w, "requests=%d answered=%d refused=%d failed=%d load_orders=%d replicas_over_cap=%d memory_overcommits=%d wrong_answers=%d cold_p50_ms=%d cold_p99_ms=%d\n",
		b.requests, b.answered, b.refused, b.failed, loads, overCap, overcommits, b.wrong,
		quantile(b.cold, 0.50).Milliseconds(), quantile(b.cold, 0.99).Milliseconds())
	if overCap > 0 || overcommits > 0 || b.wrong > 0 || b.failed > 0 || b.answered+b.refused != b.requests {
		return errors.New("a promise was broken, see the line above")
	}
	return nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
