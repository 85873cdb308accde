package dispatch

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// scriptedService fails calls with the scripted verdicts in order (verdict 0: the
// call is answered), and answers all calls after them.
type scriptedService struct {
	script     []verdict.Verdict
	calls      []string // addresses called
	mayHaveRun int      // calls that ran or may have run
}

func (s *scriptedService) dial(address string) backend.Service { return serviceAt{s, address} }

// serviceAt is the scripted service as reached at one address.
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
		s.mayHaveRun++
	}
	if v != 0 {
		return nil, verdict.New(v, verdict.ReasonBackend, "scripted")
	}
	return []byte("done"), nil
}

// newCaller returns a Caller with one declared service of three servers, one of
// which is leaving.
func newCaller(t interface{ Fatal(...any) }, s *scriptedService) *Caller {
	d := newDispatcher(t, &scriptedEngine{attempts: map[string]int{}})
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

// TestNonIdempotentCallRunsAtMostOnce guards against duplicate execution of non-idempotent calls. For any
// sequence of server failures, such a call has at most one attempt that may have
// run, NotRun is reported only if nothing may have run, the server in the own failure
// domain is called first, and a leaving server receives no call.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedService{script: rapid.SliceOfN(rapid.SampledFrom([]verdict.Verdict{0, verdict.NotRun, verdict.MayHaveRun, verdict.Ran}), 0, 4).Draw(t, "script")}
		method := rapid.SampledFrom([]string{"confirm", "lookup"}).Draw(t, "method")
		_, err := newCaller(t, s).Call(context.Background(), ServiceRequest{ID: "r", Service: "notices", Method: method})
		if method == "confirm" && s.mayHaveRun > 1 {
			t.Fatalf("%d attempts of a non-idempotent call may have run, want at most 1", s.mayHaveRun)
		}
		if err != nil && verdict.FromError(err).Verdict == verdict.NotRun && s.mayHaveRun > 0 {
			t.Fatalf("verdict NotRun (%v), but %d attempts may have run", err, s.mayHaveRun)
		}
		for i, address := range s.calls {
			if address == "leaving:1" || (i == 0 && address != "near:1") {
				t.Fatalf("called servers %v, want near:1 first and leaving:1 not at all", s.calls)
			}
		}
	})
}
