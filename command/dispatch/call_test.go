package dispatch

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// scriptedService plays verdicts in turn, then answers.
type scriptedService struct {
	script []verdict.Verdict
	calls  []string // addresses called
	mayRun int
}

func (s *scriptedService) dial(address string) backend.Service { return serviceAt{s, address} }

type serviceAt struct {
	*scriptedService
	address string
}

func (s serviceAt) Call(context.Context, backend.Call) ([]byte, error) {
	s.calls = append(s.calls, s.address)
	v := verdict.Verdict(0)
	if len(s.script) > 0 {
		v, s.script = s.script[0], s.script[1:]
	}
	if v != verdict.NotRun {
		s.mayRun++
	}
	if v != 0 {
		return nil, verdict.New(v, verdict.ReasonBackend, "scripted")
	}
	return []byte("done"), nil
}

// newCaller has a service of three instances, one of which is leaving.
func newCaller(t interface{ Fatal(...any) }, s *scriptedService) *Caller {
	d := newDispatcher(t, &scripted{attempts: map[string]int{}})
	accepted := &table.Accepted{Generation: 2}
	err := accepted.SetSource([]byte(`failureDomains: [a, b]
weightStore: {startsPerSecond: 3, streams: 4}
engines: []
models: []
services:
  - name: notices
    deadline: 10s
    methods: [{name: confirm, idempotent: false}, {name: lookup, idempotent: true}]
    instances:
      - {name: near, failureDomain: a, address: "near:1"}
      - {name: far, failureDomain: b, address: "far:1"}
      - {name: leaving, failureDomain: a, address: "leaving:1"}
`))
	if err == nil {
		err = accepted.Parse()
	}
	if err != nil {
		t.Fatal(err)
	}
	d.tables.Config.Apply(accepted)
	d.tables.Engines.MarkLeaving("leaving")
	return NewCaller(d, s.dial)
}

// TestCalls: whatever instances of a service do, a call that may not be
// repeated has at most one try that may have run, NotRun is true, and an
// instance that is leaving gets nothing.
func TestCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedService{script: rapid.SliceOfN(rapid.SampledFrom([]verdict.Verdict{0, verdict.NotRun, verdict.MayHaveRun, verdict.Ran}), 0, 4).Draw(t, "script")}
		method := rapid.SampledFrom([]string{"confirm", "lookup"}).Draw(t, "method")
		_, err := newCaller(t, s).Call(context.Background(), ServiceRequest{ID: "r", Service: "notices", Method: method})
		if method == "confirm" && s.mayRun > 1 {
			t.Fatalf("%d tries may have run", s.mayRun)
		}
		if err != nil && verdict.Of(err).Verdict == verdict.NotRun && s.mayRun > 0 {
			t.Fatalf("%v, but %d tries may have run", err, s.mayRun)
		}
		for i, address := range s.calls {
			if address == "leaving:1" || (i == 0 && address != "near:1") {
				t.Fatalf("called %v", s.calls)
			}
		}
	})
}
