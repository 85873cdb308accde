package dispatch

import (
	"context"
	"math/rand/v2"

	"github.com/google/uuid"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/verdict"
)

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	ID      string
	Service string
	Method  string
	Body    []byte
}

// Caller calls plain services.
type Caller struct {
	dispatcher *Dispatcher
	dial       func(address string) backend.Service
}

// NewCaller returns a Caller that shares the dispatcher's parameters, tables,
// retry budget and backend server statistics.
func NewCaller(d *Dispatcher, dial func(address string) backend.Service) *Caller {
	return &Caller{dispatcher: d, dial: dial}
}

// Call sends the call to one server of the service, and retries on other servers
// as far as the verdict, the method's idempotency and the retry budget permit.
// The error is a *verdict.Failure whose verdict covers all attempts.
func (c *Caller) Call(ctx context.Context, req ServiceRequest) ([]byte, error) {
	service, method, err := FindMethod(c.dispatcher.tables.Config.Index(), req.Service, req.Method)
	if err != nil {
		return nil, err
	}
	worst := verdict.NotRun
	c.dispatcher.budget.earn()
	servers := c.serversInOrder(service)
	for attempt := 1; ; attempt++ {
		if len(servers) == 0 {
			return nil, verdict.New(worst, verdict.ReasonNoReplica, "service %s has no instance left to try", service.Name)
		}
		body, err := c.attempt(ctx, servers[0], req)
		if err == nil {
			return body, nil
		}
		f := verdict.FromError(err)
		worst = max(worst, f.Verdict)
		if attempt == c.dispatcher.params.MaxAttempts || !verdict.Retryable(err, method.Idempotent) || !c.dispatcher.budget.spend() {
			return nil, f.WithVerdict(worst)
		}
		servers = servers[1:]
	}
}

// FindMethod returns the declared service and method, or a *verdict.Failure if
// either is not declared.
func FindMethod(index *declaration.Index, service, method string) (*declaration.Service, *declaration.Method, error) {
	s, found := index.Services[service]
	if !found {
		return nil, nil, verdict.Refuse(verdict.ReasonUnknownModel, "service %q is not declared", service)
	}
	m := s.FindMethod(method)
	if m == nil {
		return nil, nil, verdict.Refuse(verdict.ReasonUnknownModel, "method %q of service %q is not declared", method, service)
	}
	return s, m, nil
}

// serversInOrder returns the service's servers that are not leaving, those in
// this instance's failure domain first, in random order within each group.
func (c *Caller) serversInOrder(s *declaration.Service) []declaration.Backend {
	domain := c.dispatcher.tables.Members.Self().FailureDomain
	var near, far []declaration.Backend
	for _, i := range rand.Perm(len(s.Instances)) {
		b := s.Instances[i]
		if view, known := c.dispatcher.tables.Engines.Get(b.Name); known && view.Leaving {
			continue
		}
		if b.FailureDomain == domain {
			near = append(near, b)
		} else {
			far = append(far, b)
		}
	}
	return append(near, far...)
}

// attempt sends the call once to the given server.
func (c *Caller) attempt(ctx context.Context, server declaration.Backend, req ServiceRequest) ([]byte, error) {
	d := c.dispatcher
	call := backend.Call{ID: uuid.NewString(), Method: req.Method, Body: req.Body}
	d.events.Record(event.Event{Kind: event.KindAttempt, Request: req.ID, Engine: server.Name, Detail: "attempt=" + call.ID})
	done := d.balancer.StartRequest(server.Name)
	body, err := c.dial(server.Address).Call(ctx, call)
	done(isServerFault(err))
	if err != nil {
		d.events.Record(event.Event{Kind: event.KindAttemptFail, Request: req.ID, Engine: server.Name, Detail: err.Error()})
		return nil, withContextReason(ctx, verdict.FromError(err))
	}
	return body, nil
}
