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

// The burst of --once.
const (
	burstModels   = 10
	burstRequests = 4 // for each model at each instance
	burstTokens   = 8
)

// burst collects what became of the requests.
type burst struct {
	mu                                 sync.Mutex
	requests, answered, refused, wrong int             // guarded by mu
	failed                             int             // guarded by mu
	cold                               []time.Duration // guarded by mu
}

// once sends the burst, prints one line and fails if a promise broke.
func (f *fleet) once(ctx context.Context, w io.Writer) error {
	watch := f.watchReplicas()
	b := &burst{}
	var all sync.WaitGroup
	for _, m := range f.declared.Models[:burstModels] {
		for _, d := range f.instances {
			client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+d.CallerAddress())
			for i := range burstRequests {
				prompt := fmt.Sprintf("%s/%s/%d", m.Name, d.CallerAddress(), i)
				all.Go(func() { b.send(ctx, client, m.Name, prompt) })
			}
		}
	}
	all.Wait()
	over := watch()
	return b.summary(w, f.loadOrders(), over, f.overcommits())
}

func (b *burst) send(ctx context.Context, client martenportv1connect.InferenceServiceClient, model, prompt string) {
	start := time.Now()
	answer, err := client.Generate(ctx, connect.NewRequest(&martenportv1.GenerateRequest{
		Model: model, Prompt: prompt, MaxTokens: burstTokens, Idempotent: true,
	}))
	took := time.Since(start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	switch {
	case err == nil:
		b.answered++
		if answer.Msg.Text != wantText(prompt) {
			b.wrong++
		}
		if answer.Msg.Cold {
			b.cold = append(b.cold, took)
		}
	case verdictOf(err) == martenportv1.Verdict_VERDICT_NOT_RUN:
		b.refused++
	default:
		b.failed++
	}
}

// wantText is the stand-in engines' whole answer to a prompt.
func wantText(prompt string) string {
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

// watchReplicas counts replicas until the returned function is called, which
// returns the largest number over a model's cap that was seen, 0 if none was.
func (f *fleet) watchReplicas() func() int {
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		worst := 0
		for {
			worst = max(worst, f.overCap())
			select {
			case <-time.After(time.Millisecond):
			case <-stop:
				done <- max(worst, f.overCap())
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
	worst := 0
	for _, m := range f.declared.Models {
		worst = max(worst, replicas[m.Name]-m.MaxReplicas)
	}
	return worst
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

func (b *burst) summary(w io.Writer, loads, over, overcommits int) error {
	slices.Sort(b.cold)
	fmt.Fprintf(w, "requests=%d answered=%d refused=%d failed=%d load_orders=%d replicas_over_cap=%d memory_overcommits=%d wrong_answers=%d cold_p50_ms=%d cold_p99_ms=%d\n",
		b.requests, b.answered, b.refused, b.failed, loads, over, overcommits, b.wrong,
		quantile(b.cold, 0.50).Milliseconds(), quantile(b.cold, 0.99).Milliseconds())
	if over > 0 || overcommits > 0 || b.wrong > 0 || b.failed > 0 || b.answered+b.refused != b.requests {
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
