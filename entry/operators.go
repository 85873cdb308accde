package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/command/intent"
	"github.com/martenport/martenport/command/limits"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/operators"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
)

// Options are set by whoever starts the process, not by the platform.
type Options struct {
	// OperatorsPort is the port of the operators' interface, on the instance's own address. 0 disables
	// the interface; then no declaration is read and the number of replicas is not limited. It must be
	// the same at all instances.
	OperatorsPort int
	// OperatorCredential is the bearer token that operators must send. If it is empty, everyone who
	// can connect to the port has access.
	OperatorCredential string
	// RequestMemoryPercent is the part of the process's memory that clients' requests may take together;
	// intake.DefaultPercent if 0.
	RequestMemoryPercent int
}

// declarationState is the operators' declaration as last read by this instance.
type declarationState struct {
	config *table.Config
	// loaded is whether the store has reported if there is a declaration, and it is still being
	// watched.
	loaded atomic.Bool
	log    logrus.FieldLogger
}

// Known implements limits.Source.
func (d *declarationState) Known() bool { return d.loaded.Load() }

// Limit implements limits.Source.
func (d *declarationState) Limit(model string) (limits.Limit, bool) {
	m, found := d.config.Index().Models[model]
	if !found {
		return limits.Limit{}, false
	}
	return limits.Limit{Replicas: m.MaxReplicas, Domains: m.FailureDomains}, true
}

// markUnread records that the declaration is not being watched any more. Without it, an instance that
// becomes the holder again uses the declaration from its previous term, for 84 ms in the test.
func (d *declarationState) markUnread() { d.loaded.Store(false) }

// apply applies the declaration read from the store. An accepted declaration never reverts to an older
// one.
func (d *declarationState) apply(snap store.Snapshot, _ bool) {
	for _, obj := range snap.Objects {
		if obj.Deleted || obj.Key != store.KeyConfig {
			continue
		}
		accepted, err := intent.Decode(obj.Value)
		if err == nil {
			err = d.accept(accepted)
		}
		if err != nil {
			d.log.WithFields(logrus.Fields{"revision": obj.Version, "error": err}).Error("declaration cannot be decoded, keeping the one in force")
		}
	}
	d.loaded.Store(true)
}

// refresh reads the declaration for an operator, since only the lease holder watches it. While the
// store is unavailable the last one read is used.
func (d *declarationState) refresh(ctx context.Context, s store.Store) {
	obj, err := s.Get(ctx, store.KeyConfig)
	if err == nil {
		d.apply(store.Snapshot{Objects: []store.Object{obj}}, false)
	} else if !errors.Is(err, store.ErrNotFound) {
		d.log.WithField("error", err).Info("declaration not read, answering with the one read last")
	}
}

// accept puts a declaration in force if it is newer.
func (d *declarationState) accept(a *table.Accepted) error {
	applied, err := d.config.Accept(a)
	if applied {
		d.log.WithFields(logrus.Fields{"generation": a.Generation, "plan": a.PlanID, "models": len(a.Index().Models)}).Info("declaration in force")
	}
	return err
}

// operatorService implements the operators' interface. It has no timeline: entry instances write logs,
// from which `martenctl explain` shows what happened to a request.
type operatorService struct {
	operators.Declarations
	i *Instance
}

// maxOperatorEvents is the number of events of plans and confirmations that are kept.
const maxOperatorEvents = 100

func (i *Instance) operatorHandler() http.Handler {
	s := operatorService{i: i, Declarations: operators.Declarations{
		Intents: intent.New(i.client, i.declaration.config, i.members.hasInstanceIn), Config: i.declaration.config,
		Events: event.NewRecorder(i.settings.Load().NodeName, &event.Clock{}, maxOperatorEvents, i.log),
		Accepted: func(a *table.Accepted) {
			if err := i.declaration.accept(a); err != nil {
				i.log.WithField("error", err).Error("accepted declaration cannot be decoded")
			}
		},
	}}
	mux := http.NewServeMux()
	path, handler := martenportv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(operators.MaxMessageBytes))
	mux.Handle(path, operators.RequireCredential(i.options.OperatorCredential, handler))
	return mux
}

// GetDeclaration implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) GetDeclaration(ctx context.Context, msg *connect.Request[martenportv1.GetDeclarationRequest]) (*connect.Response[martenportv1.GetDeclarationResponse], error) {
	s.i.declaration.refresh(ctx, s.i.client)
	return s.Declarations.GetDeclaration(ctx, msg)
}

// Drain implements martenportv1connect.OperatorServiceHandler: the instance leaves as on SIGTERM, and
// its process ends.
func (s operatorService) Drain(context.Context, *connect.Request[martenportv1.DrainRequest]) (*connect.Response[martenportv1.DrainResponse], error) {
	s.i.leave()
	return connect.NewResponse(&martenportv1.DrainResponse{}), nil
}

// Timeline implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) Timeline(context.Context, *connect.Request[martenportv1.TimelineRequest]) (*connect.Response[martenportv1.TimelineResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("entry instances keep no time line: collect their logs and use martenctl explain"))
}

// GetStatus implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) GetStatus(ctx context.Context, _ *connect.Request[martenportv1.GetStatusRequest]) (*connect.Response[martenportv1.GetStatusResponse], error) {
	s.i.declaration.refresh(ctx, s.i.client)
	settings := s.i.settings.Load()
	out := &martenportv1.GetStatusResponse{
		Instance: settings.NodeName, FailureDomain: settings.Zone, Draining: s.i.draining.Load(),
		Generation: s.i.declaration.config.Index().Generation, PlatformReachable: !s.i.watcher.storeLost(),
		Requests: s.requests(),
	}
	for _, m := range s.i.members.list(ctx) {
		out.Instances = append(out.Instances, &martenportv1.InstanceStatus{Name: m.Name, FailureDomain: m.Domain, State: "registered"})
	}
	resident := map[serving.Unit]int32{}
	out.Engines = s.engines(resident)
	for _, m := range s.i.declaration.config.Index().Declaration.Models {
		out.Models = append(out.Models, &martenportv1.ModelStatus{
			Name: m.Name, MaxReplicas: int32(m.MaxReplicas), Resident: resident[serving.Unit{Model: m.Name}],
		})
	}
	return connect.NewResponse(out), nil
}

// requests returns the counts of this instance's requests.
func (s operatorService) requests() *martenportv1.RequestCounts {
	t := s.i.counts.Totals()
	return &martenportv1.RequestCounts{
		Accepted: t.Accepted, Answered: t.Answered, Refused: t.Refused, Failed: t.Failed, Cancelled: t.Cancelled, Running: t.Running,
	}
}

// engines returns the state of the engines, and counts the loaded units in resident.
func (s operatorService) engines(resident map[serving.Unit]int32) []*martenportv1.EngineStatus {
	config := s.i.dir.Config()
	if config == nil {
		return nil
	}
	holder := s.i.follower.holderName()
	var engines []*martenportv1.EngineStatus
	for _, server := range s.i.dir.All() {
		if config.Services[server.Service].Engine == nil {
			continue
		}
		e := &martenportv1.EngineStatus{Name: server.ID, FailureDomain: server.FailureDomain, Orderer: holder, Leaving: server.Draining}
		e.Limit, e.Limited = s.i.limiter.ledger.Limit(server)
		e.RestingSeconds = max(0, clock.Until(s.i.limiter.RetryAfterUntil(server)).Seconds())
		for _, u := range s.i.dir.UnitsOn(server.ID) {
			e.Resident = append(e.Resident, u.String())
			resident[u]++
		}
		engines = append(engines, e)
	}
	return engines
}

// operatorsAddress returns the address of the operators' interface, empty if it is disabled.
func (i *Instance) operatorsAddress() string {
	if i.options.OperatorsPort == 0 {
		return ""
	}
	return net.JoinHostPort(i.settings.Load().IP, strconv.Itoa(i.options.OperatorsPort))
}
