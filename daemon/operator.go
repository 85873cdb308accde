package daemon

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/operators"
	"github.com/martenport/martenport/peer"
	"github.com/martenport/martenport/query/status"
	"github.com/martenport/martenport/table"
)

// timelineTimeout limits the collection of events. defaultTimelineLimit is the maximum
// number of events returned if the request sets none.
const (
	timelineTimeout      = 3 * time.Second
	defaultTimelineLimit = 1000
)

// operatorHandler returns the handler of the operators' API and of metrics.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := martenportv1connect.NewOperatorServiceHandler(newOperator(d), connect.WithReadMaxBytes(operators.MaxMessageBytes))
	mux.Handle(path, operators.RequireCredential(d.settings.OperatorCredential, handler))
	mux.HandleFunc("GET /metrics", d.metrics.serve)
	return mux
}

// operator implements the operators' API.
type operator struct {
	operators.Declarations
	d *Daemon
}

func newOperator(d *Daemon) operator {
	return operator{d: d, Declarations: operators.Declarations{
		Intents: d.intents, Config: d.tables.Config, Events: d.events,
		Accepted: func(a *table.Accepted) { peer.ApplyDeclaration(d.tables, d.events, a, "operator") },
	}}
}

// ListWorkspaces implements martenportv1connect.OperatorServiceHandler.
func (o operator) ListWorkspaces(context.Context, *connect.Request[martenportv1.ListWorkspacesRequest]) (*connect.Response[martenportv1.ListWorkspacesResponse], error) {
	return connect.NewResponse(&martenportv1.ListWorkspacesResponse{KeysTrusted: true}), nil // this daemon has no workspaces
}

// GetCapacity implements martenportv1connect.OperatorServiceHandler.
func (o operator) GetCapacity(context.Context, *connect.Request[martenportv1.GetCapacityRequest]) (*connect.Response[martenportv1.GetCapacityResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this daemon does not divide engines among traffic classes; ask an entry instance"))
}

// ListQuarantine implements martenportv1connect.OperatorServiceHandler.
func (o operator) ListQuarantine(context.Context, *connect.Request[martenportv1.ListQuarantineRequest]) (*connect.Response[martenportv1.ListQuarantineResponse], error) {
	return connect.NewResponse(&martenportv1.ListQuarantineResponse{}), nil // this daemon has no quarantine
}

// Release implements martenportv1connect.OperatorServiceHandler.
func (o operator) Release(_ context.Context, msg *connect.Request[martenportv1.ReleaseRequest]) (*connect.Response[martenportv1.ReleaseResponse], error) {
	return nil, connect.NewError(connect.CodeNotFound, errors.Newf("no request %s is held", msg.Msg.Fingerprint))
}

// Drain implements martenportv1connect.OperatorServiceHandler.
func (o operator) Drain(context.Context, *connect.Request[martenportv1.DrainRequest]) (*connect.Response[martenportv1.DrainResponse], error) {
	o.d.Drain()
	return connect.NewResponse(&martenportv1.DrainResponse{Running: o.d.gate.Counts().Running}), nil
}

// Timeline implements martenportv1connect.OperatorServiceHandler.
func (o operator) Timeline(ctx context.Context, msg *connect.Request[martenportv1.TimelineRequest]) (*connect.Response[martenportv1.TimelineResponse], error) {
	req := msg.Msg
	limit := int(req.Limit)
	if limit <= 0 {
		limit = defaultTimelineLimit
	}
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	merged := o.d.timeline.Collect(ctx, event.Filter{Request: req.Request, Model: req.Model, Engine: req.Engine, Plan: req.Plan, Limit: limit})
	out := &martenportv1.TimelineResponse{Unreachable: merged.Unreachable}
	for _, e := range merged.Events {
		out.Events = append(out.Events, &martenportv1.TimelineEvent{
			WallNs: e.Stamp.Wall, Logical: e.Stamp.Logical, Process: e.Process, Kind: string(e.Kind),
			Request: e.Request, Model: e.Model, Engine: e.Engine, Plan: e.Plan, Detail: e.Detail,
		})
	}
	return connect.NewResponse(out), nil
}

// GetStatus implements martenportv1connect.OperatorServiceHandler.
func (o operator) GetStatus(context.Context, *connect.Request[martenportv1.GetStatusRequest]) (*connect.Response[martenportv1.GetStatusResponse], error) {
	self := o.d.tables.Members.Self()
	counts := o.d.gate.Counts()
	out := &martenportv1.GetStatusResponse{
		Instance: self.Name, FailureDomain: self.FailureDomain, Draining: o.d.gate.Draining(),
		Generation: o.d.tables.Config.Index().Generation, PlatformReachable: !o.d.store.down.Load(),
		Requests: &martenportv1.RequestCounts{
			Accepted: counts.Accepted, Answered: counts.Answered, Refused: counts.Refused,
			Failed: counts.Failed, Cancelled: counts.Cancelled, Running: counts.Running,
		},
	}
	for _, m := range o.d.tables.Members.All() {
		out.Instances = append(out.Instances, &martenportv1.InstanceStatus{
			Name: m.Name, FailureDomain: m.FailureDomain, State: m.State.String(), Generation: m.Generation,
		})
	}
	for _, e := range o.d.tables.Engines.All() {
		out.Engines = append(out.Engines, o.engine(e))
	}
	for _, m := range status.Models(o.d.tables, o.d.gate) {
		out.Models = append(out.Models, &martenportv1.ModelStatus{
			Name: m.Name, MaxReplicas: int32(m.MaxReplicas), Resident: int32(m.Resident), Loading: int32(m.Loading),
			Waiting: int32(m.Waiting), WhyNotLoaded: m.WhyNotLoaded,
		})
	}
	return connect.NewResponse(out), nil
}

// engine returns the status of one engine.
func (o operator) engine(e table.EngineView) *martenportv1.EngineStatus {
	out := &martenportv1.EngineStatus{
		Name: e.Engine, FailureDomain: e.FailureDomain, Orderer: e.Orderer, Epoch: e.Epoch,
		MemoryBytes: e.MemoryBytes, UsedBytes: e.UsedBytes, Queue: int32(e.Load.Queue), Leaving: e.Leaving,
		Doubtful: e.Doubtful, ReportAgeSeconds: status.ReportAge(e, time.Now()).Seconds(),
	}
	if declared, found := o.d.tables.Config.Index().Engines[e.Engine]; found {
		out.Fencing = declared.Fencing
	}
	for _, u := range e.Units {
		switch u.State {
		case backend.Resident:
			out.Resident = append(out.Resident, u.Unit.ID())
		case backend.Loading:
			out.Loading = append(out.Loading, u.Unit.ID())
		}
	}
	return out
}
