package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/command/admission"
	"github.com/martenport/martenport/command/routing"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// outcome is the scripted result of one call to Generate.
type outcome struct {
	// refuse, if not 0, is the verdict with which the call fails immediately.
	refuse verdict.Verdict
	// tokens is the number of tokens before the answer breaks off, if broken is set.
	tokens int
	broken bool
	// foreign puts a token of another attempt into the middle of the answer,
	// skipped omits one there.
	foreign, skipped bool
}

// scriptedEngine is an engine whose calls to Generate have the scriptedEngine outcomes
// in order; all calls after them return a complete answer.
type scriptedEngine struct {
	backend.Engine
	script    []outcome
	attempts  map[string]int // number of calls by attempt ID
	mayRun    int            // attempts that ran or may have run
	cancelled atomic.Int64
}

const answerTokens = 6

func (e *scriptedEngine) Generate(_ context.Context, a backend.Attempt) (backend.Stream, error) {
	o := outcome{tokens: answerTokens}
	if len(e.script) > 0 {
		o, e.script = e.script[0], e.script[1:]
	}
	if o.refuse == verdict.NotRun && !a.Resume {
		return nil, verdict.Refuse(verdict.ReasonBackend, "refused")
	}
	if e.attempts[a.ID] == 0 {
		e.mayRun++
	}
	e.attempts[a.ID]++
	if o.refuse != 0 {
		return nil, verdict.New(o.refuse, verdict.ReasonBackend, "failed")
	}
	return &scriptedStream{outcome: o, attempt: a.ID, next: a.From}, nil
}

func (e *scriptedEngine) Cancel(context.Context, string) error {
	e.cancelled.Add(1)
	return nil
}

// scriptedStream implements the contract of backend.Stream: a token that is not
// the next one of the attempt is reported as a broken answer.
type scriptedStream struct {
	outcome
	attempt string
	next    int64
	sent    int
}

func (s *scriptedStream) Next() (backend.Token, error) {
	wrong := s.sent == s.tokens/2 && (s.foreign || s.skipped)
	if (s.broken && s.sent == s.tokens) || wrong {
		return backend.Token{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "broke off")
	}
	s.sent++
	t := backend.Token{Attempt: s.attempt, Sequence: s.next, Text: fmt.Sprint(s.next, " ")}
	if s.next == answerTokens {
		t.Text, t.End = "", true
	}
	s.next++
	return t, nil
}

func (s *scriptedStream) Close() error { return nil }

// textSink collects the answer. If sent is set, tokens already received cannot be
// discarded.
type textSink struct {
	strings.Builder
	sent bool
}

func (s *textSink) Token(t backend.Token) error {
	s.WriteString(t.Text)
	return nil
}

func (s *textSink) Restart() bool {
	if s.sent && s.Len() > 0 {
		return false
	}
	s.Reset()
	return true
}

type fakeWaker struct{}

func (fakeWaker) Wake(context.Context, backend.Unit) (string, error) { return "e1", nil }

func (fakeWaker) ScaleUp(context.Context, backend.Unit, int) error { return nil }
func (fakeWaker) LoadTime(int64) time.Duration                     { return time.Hour }

// newDispatcher returns a Dispatcher with one model that is resident on two
// engines, both served by e.
func newDispatcher(t interface{ Fatal(...any) }, e *scriptedEngine) *Dispatcher {
	tables := table.New(table.Member{Name: "i", FailureDomain: "a"})
	accepted := &table.Accepted{Generation: 1}
	err := accepted.SetSource([]byte(`failureDomains: [a]
weightStore: {startsPerSecond: 3, streams: 4}
engines:
  - {name: e1, failureDomain: a, address: "e1:1", memory: 80GiB, fencing: true}
  - {name: e2, failureDomain: a, address: "e2:1", memory: 80GiB, fencing: true}
models:
  - {name: m, version: "1", memory: 14GiB, maxReplicas: 2, deadline: 30s}
`))
	if err == nil {
		err = accepted.Parse()
	}
	if err != nil {
		t.Fatal(err)
	}
	tables.Config.Apply(accepted)
	for _, name := range []string{"e1", "e2"} {
		tables.Engines.MergeResidency([]table.Residency{{
			Engine: name, FailureDomain: "a", Orderer: "i", Epoch: 1, Version: 1,
			Units: []table.UnitState{{Unit: backend.Unit{Model: "m", Version: "1"}, State: backend.Resident}},
		}})
	}
	return New(DefaultParams(), tables, event.NewRecorder("i", &event.Clock{}, 16, nil), routing.NewBalancer(routing.DefaultParams()),
		admission.NewQueue(admission.QueueParams{MaxWaiting: 10}), fakeWaker{}, func(declaration.Engine) backend.Engine { return e })
}

// generate runs one request with a deadline of 30 s.
func (d *Dispatcher) generate(sink Sink, idempotent bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := d.Generate(ctx, Request{ID: "r", Model: "m", Prompt: "p", MaxTokens: answerTokens, Idempotent: idempotent}, sink)
	return err
}

const completeAnswer = "0 1 2 3 4 5 "

// TestAnswers checks the outcome of a request for each kind of engine failure,
// and that attempts which may still run are cancelled.
func TestAnswers(t *testing.T) {
	notRun, mayHaveRun := outcome{refuse: verdict.NotRun}, outcome{refuse: verdict.MayHaveRun}
	broken := outcome{tokens: 3, broken: true}
	for _, c := range []struct {
		name       string
		script     []outcome
		idempotent bool
		sent       bool
		want       verdict.Verdict // 0 if answered
	}{
		{"whole", nil, false, false, 0},
		{"refused, sent again", []outcome{notRun}, false, false, 0},
		{"may have run, not sent again", []outcome{mayHaveRun}, false, false, verdict.MayHaveRun},
		{"may have run, idempotent", []outcome{mayHaveRun}, true, false, 0},
		{"broke off, resumed", []outcome{broken}, false, true, 0},
		{"broke off, cannot be resumed", []outcome{broken, mayHaveRun}, false, false, verdict.MayHaveRun},
		{"broke off, resume refused as not run", []outcome{broken, notRun, notRun}, false, false, verdict.MayHaveRun},
		{"another attempt's token in between", []outcome{{tokens: 6, foreign: true}}, false, true, 0},
		{"a token left out", []outcome{{tokens: 6, skipped: true}}, false, true, 0},
		{"broke off before a token, resume refused as not run", []outcome{{broken: true}, notRun}, false, false, verdict.MayHaveRun},
		{"broke off after tokens left, idempotent", []outcome{broken, mayHaveRun}, true, true, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &scriptedEngine{script: c.script, attempts: map[string]int{}}
				sink := &textSink{sent: c.sent}
				err := newDispatcher(t, e).generate(sink, c.idempotent)
				synctest.Wait()
				switch {
				case c.want == 0 && (err != nil || sink.String() != completeAnswer):
					t.Errorf("answer %q, error %v, want the complete answer", sink.String(), err)
				case c.want != 0 && (err == nil || verdict.FromError(err).Verdict != c.want):
					t.Errorf("error %v, want verdict %v", err, c.want)
				}
				if c.want == verdict.MayHaveRun && e.cancelled.Load() == 0 {
					t.Error("the abandoned attempt was not cancelled")
				}
			})
		})
	}
}

// TestVerdicts guards against duplicate execution, truncated answers and wrong
// verdicts: for any sequence of engine failures, a non-idempotent request has at
// most one attempt that may have run, an answer is complete, and NotRun is
// reported only if no attempt may have run.
func TestVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &scriptedEngine{attempts: map[string]int{}}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			e.script = append(e.script, outcome{
				refuse:  rapid.SampledFrom([]verdict.Verdict{0, verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "refuse"),
				tokens:  rapid.IntRange(0, answerTokens).Draw(t, "tokens"),
				broken:  rapid.Bool().Draw(t, "broken"),
				foreign: rapid.Bool().Draw(t, "foreign"),
			})
		}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		sink := &textSink{sent: rapid.Bool().Draw(t, "sent")}
		err := newDispatcher(t, e).generate(sink, idempotent)
		if !idempotent && e.mayRun > 1 {
			t.Fatalf("%d attempts of a non-idempotent request may have run, want at most 1", e.mayRun)
		}
		if err == nil && sink.String() != completeAnswer {
			t.Fatalf("incomplete answer %q", sink.String())
		}
		if err != nil && verdict.FromError(err).Verdict == verdict.NotRun && e.mayRun > 0 {
			t.Fatalf("verdict NotRun (%v), but %d attempts may have run", err, e.mayRun)
		}
	})
}

// TestRetryBudget guards against retry storms: when every attempt is refused, the
// number of attempts stays within the retry budget, instead of growing to
// MaxAttempts times the number of requests.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 1000
		e := &scriptedEngine{attempts: map[string]int{}}
		for range requests * 3 {
			e.script = append(e.script, outcome{refuse: verdict.NotRun})
		}
		d := newDispatcher(t, e)
		for range requests {
			if err := d.generate(&textSink{}, true); verdict.FromError(err).Verdict != verdict.NotRun {
				t.Fatal(err)
			}
		}
		most := requests + int(d.params.RetryRatio*requests) + d.params.RetryBurst
		if sent := requests*3 - len(e.script); sent > most {
			t.Errorf("%d attempts for %d requests, want at most %d", sent, requests, most)
		}
	})
}
