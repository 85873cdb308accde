package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/internal/standin"
)

// testOperatorsPort is the operators' port of all instances, which have different addresses.
const testOperatorsPort = 7395

// limitedDeclaration limits m1 and m4 to one replica each and m3 to none; m2 is not declared.
const limitedDeclaration = `failureDomains: [a]
weightStore: {startsPerSecond: 3, streams: 4}
engines:
  - {name: e1, failureDomain: a, address: "e1:1", memory: 80GiB, fencing: false}
models:
  - {name: m1, version: "1", memory: 1GiB, maxReplicas: 1, deadline: 30s}
  - {name: m3, version: "1", memory: 1GiB, maxReplicas: 0, deadline: 30s}
  - {name: m4, version: "1", memory: 1GiB, maxReplicas: 1, deadline: 30s}
`

// operatorsOf returns a client of the operators' API of an instance.
func operatorsOf(r *running) martenportv1connect.OperatorServiceClient {
	return martenportv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.operatorsAddress())
}

// declare plans and confirms a declaration at an instance.
func (f *fleet) declare(r *running, source string) {
	f.t.Helper()
	ctx := context.Background()
	plan, err := operatorsOf(r).Plan(ctx, connect.NewRequest(&martenportv1.PlanRequest{Declaration: []byte(source)}))
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = operatorsOf(r).Confirm(ctx, connect.NewRequest(&martenportv1.ConfirmRequest{
		PlanId: plan.Msg.PlanId, BaseGeneration: plan.Msg.BaseGeneration, Declaration: []byte(source),
	}))
	if err != nil {
		f.t.Fatal(err)
	}
}

// replicas returns the number of engines that have loaded a model, and the maximum at any time, computed from the
// accepted orders. initial has 1 for each engine that had loaded it at the start.
func (f *fleet) replicas(model string, initial map[string]int) (now, most int) {
	type change struct {
		standin.ReceivedOrder
		delta int
	}
	var changes []change
	for id, s := range f.servers {
		for _, o := range s.Orders() {
			if !o.Accepted || o.Unit != model {
				continue
			}
			delta := -1
			if o.Operation == "model_load" {
				delta = 1
			}
			changes = append(changes, change{o, delta})
		}
		now += initial[id]
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, c := range changes {
		now += c.delta
		if c.delta > 0 {
			most = max(most, now)
		}
	}
	return now, most
}

// TestReplicaLimits checks that operators can plan and confirm replica limits at any instance, that surplus
// replicas are unloaded, and that a burst at all instances, with lost answers to orders and a stopped holder, does
// not exceed the limits.
func TestReplicaLimits(t *testing.T) {
	f := newFleetWith(t, 3, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	f.declare(f.instances[1], limitedDeclaration)
	f.await("surplus replicas unloaded", func() bool {
		m1, _ := f.replicas("m1", map[string]int{"e1": 1, "e2": 1})
		m3, _ := f.replicas("m3", map[string]int{"e2": 1})
		return m1 == 1 && m3 == 0
	})
	for _, s := range f.servers {
		s.LoseOrderAnswers(2)
	}
	var clients sync.WaitGroup
	for _, r := range f.instances {
		for range 8 {
			clients.Go(func() {
				if a := f.requestUntilServed(r, "stream", "m4"); a.body != wholeStream("m4") {
					t.Errorf("%+v", a)
				}
			})
		}
		clients.Go(func() {
			if a := f.request(r, "stream", "m3"); a.status != http.StatusServiceUnavailable {
				t.Errorf("a model without replicas answered: %+v", a)
			}
		})
	}
	clients.Wait()
	stopped := f.holder()
	stopped.stop()
	f.await("another holder", func() bool { h := f.holder(); return h != nil && h != stopped })
	for _, model := range []string{"m2", "m4", "m1", "m4"} {
		f.requestUntilServed(f.holder(), "stream", model)
	}
	for _, model := range []string{"m1", "m4"} {
		initial := map[string]int{}
		if model == "m1" {
			initial = map[string]int{"e1": 1, "e2": 1}
		}
		if _, most := f.replicas(model, initial); most > 1 {
			t.Errorf("%d replicas of %s, one is allowed", most, model)
		}
	}
	f.checkServerInvariants()
}

// TestOperators checks the operators' API at an instance that is not the holder.
func TestOperators(t *testing.T) {
	f := newFleetWith(t, 2, Options{OperatorsPort: testOperatorsPort, OperatorCredential: "secret"})
	f.await("a holder", func() bool { return f.holder() != nil })
	r := f.instances[0]
	if r == f.holder() {
		r = f.instances[1]
	}
	ctx := context.Background()
	if _, err := operatorsOf(r).GetStatus(ctx, connect.NewRequest(&martenportv1.GetStatusRequest{})); connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("without the credential: %v", err)
	}
	client := martenportv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.operatorsAddress(), connect.WithInterceptors(
		connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer secret")
				return next(ctx, req)
			}
		})))
	if _, err := client.Plan(ctx, connect.NewRequest(&martenportv1.PlanRequest{Declaration: []byte("models: 3")})); connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("a declaration that cannot be read: %v", err)
	}
	plan, err := client.Plan(ctx, connect.NewRequest(&martenportv1.PlanRequest{Declaration: []byte(limitedDeclaration)}))
	if err != nil {
		t.Fatal(err)
	}
	confirm := &martenportv1.ConfirmRequest{
		PlanId: plan.Msg.PlanId, BaseGeneration: plan.Msg.BaseGeneration, Declaration: []byte(limitedDeclaration),
	}
	for range 2 { // a repeated confirm changes nothing
		accepted, err := client.Confirm(ctx, connect.NewRequest(confirm))
		if err != nil || accepted.Msg.Generation != 1 {
			t.Errorf("%v, %v", accepted, err)
		}
	}
	declaration, err := client.GetDeclaration(ctx, connect.NewRequest(&martenportv1.GetDeclarationRequest{}))
	if err != nil || string(declaration.Msg.Declaration) != limitedDeclaration {
		t.Errorf("%v, %v", declaration, err)
	}
	f.request(r, "unsafe", "")
	f.request(r, "nowhere", "")
	f.await("the status shows the limits applied", func() bool {
		status, err := client.GetStatus(ctx, connect.NewRequest(&martenportv1.GetStatusRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		m := status.Msg.Models
		q := status.Msg.Requests
		if q.Accepted != 2 || q.Accepted != q.Answered+q.Refused+q.Failed+q.Cancelled+q.Running {
			t.Fatalf("requests %v, want two that add up", q)
		}
		if q.Running > 0 {
			return false // the client has its answer a moment before it is counted
		}
		if q.Answered != 1 || q.Refused != 1 {
			t.Fatalf("requests %v, want one answered and one refused", q)
		}
		return len(m) == 3 && m[0].Resident == 1 && m[1].Resident == 0 && len(status.Msg.Instances) == 2 && len(status.Msg.Engines) == 2
	})
	if _, err := client.Timeline(ctx, connect.NewRequest(&martenportv1.TimelineRequest{})); connect.CodeOf(err) != connect.CodeUnimplemented || !strings.Contains(err.Error(), "martenctl explain") {
		t.Errorf("timeline: %v", err)
	}
	if _, err := client.Drain(ctx, connect.NewRequest(&martenportv1.DrainRequest{})); err != nil {
		t.Error(err)
	}
	<-r.done
}

// TestNextTermReadsDeclaration checks that an instance that becomes the holder again does not use the declaration
// that it read when it was the holder before.
//
// Operators removed the last replica of a model while another instance was the holder. That one released the lease,
// and the next holder, which had been the holder before, used the declaration of that time for up to 100 ms: it
// might have loaded a model that must have no replicas. 84 answers within the first 85 ms showed the old number.
func TestNextTermReadsDeclaration(t *testing.T) {
	f := newFleetWith(t, 2, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	again := f.holder()
	f.declare(again, strings.Replace(limitedDeclaration, "maxReplicas: 0", "maxReplicas: 1", 1))
	f.await("the declaration read", again.declaration.Known)
	other := f.instances[0]
	if other == again {
		other = f.instances[1]
	}
	record, revision, err := other.holder.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	other.follower.takeOver(t.Context(), record, revision, "test")
	again.follower.find(t.Context())
	f.await("an update of the other instance was applied", func() bool { return !again.holder.Holds() && again.watcher.holderUpdateFresh(time.Now()) })
	time.Sleep(watchWait + storeTimeout) // until its last watch has ended
	f.declare(other, limitedDeclaration)
	initialReplicas := map[string]int{"e2": 1}
	f.await("the last replica unloaded", func() bool { now, _ := f.replicas("m3", initialReplicas); return now == 0 })
	other.holder.Release(t.Context())
	record, revision, err = again.holder.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	again.follower.takeOver(t.Context(), record, revision, "test")
	if m3, _ := again.declaration.Limit("m3"); again.declaration.Known() && m3.Replicas != 0 {
		t.Errorf("the holder would load %d replicas of m3, want none", m3.Replicas)
	}
	f.await("the declaration read again", again.declaration.Known)
	if m3, _ := again.declaration.Limit("m3"); m3.Replicas != 0 {
		t.Errorf("%d replicas of m3 after the declaration was read again, want none", m3.Replicas)
	}
}
