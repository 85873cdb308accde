// Package operators implements the part of the operator API that is common to all
// deployments: reading, planning and confirming declarations, and the check of the
// operator credential.
package operators

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/intent"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict/rpcerror"
)

// MaxMessageBytes is the maximum size of an operator's message: a declaration and
// the other fields of the message.
const MaxMessageBytes = table.MaxSourceBytes + 4096

// Declarations implements the methods of martenportv1connect.OperatorServiceHandler
// that concern declarations.
type Declarations struct {
	Intents *intent.Intents
	// Config is the declaration in force at this instance.
	Config *table.Config
	Events *event.Recorder
	// Accepted is called with each declaration that this instance has just accepted.
	Accepted func(a *table.Accepted)
}

// Plan returns the changes that a declaration would make.
func (d Declarations) Plan(ctx context.Context, msg *connect.Request[martenportv1.PlanRequest]) (*connect.Response[martenportv1.PlanResponse], error) {
	plan, err := d.Intents.Plan(ctx, msg.Msg.Declaration)
	if err != nil {
		return nil, rpcerror.New(err)
	}
	out := &martenportv1.PlanResponse{PlanId: plan.ID, BaseGeneration: plan.BaseGeneration, Warnings: plan.Warnings}
	for _, c := range plan.Changes {
		out.Changes = append(out.Changes, &martenportv1.Change{Kind: c.Kind, Subject: c.Subject, Detail: c.Detail})
	}
	d.Events.Record(event.Event{Kind: event.KindPlan, Plan: plan.ID})
	return connect.NewResponse(out), nil
}

// Confirm accepts a plan if its base generation is still the current one.
func (d Declarations) Confirm(ctx context.Context, msg *connect.Request[martenportv1.ConfirmRequest]) (*connect.Response[martenportv1.ConfirmResponse], error) {
	req := msg.Msg
	accepted, err := d.Intents.Confirm(ctx, req.PlanId, req.BaseGeneration, req.Declaration)
	if err != nil {
		d.Events.Record(event.Event{Kind: event.KindConfirm, Plan: req.PlanId, Detail: err.Error()})
		return nil, rpcerror.New(err)
	}
	d.Events.Record(event.Event{Kind: event.KindConfirm, Plan: req.PlanId, Detail: "accepted"})
	if len(accepted.Compressed) > 0 {
		d.Accepted(accepted)
	}
	return connect.NewResponse(&martenportv1.ConfirmResponse{Generation: accepted.Generation}), nil
}

// GetDeclaration returns the declaration in force at this instance.
func (d Declarations) GetDeclaration(context.Context, *connect.Request[martenportv1.GetDeclarationRequest]) (*connect.Response[martenportv1.GetDeclarationResponse], error) {
	out := &martenportv1.GetDeclarationResponse{}
	if a := d.Config.Accepted(); a != nil {
		source, err := a.Source()
		if err != nil {
			return nil, rpcerror.New(err)
		}
		out.Generation, out.PlanId, out.Declaration = a.Generation, a.PlanID, source
	}
	return connect.NewResponse(out), nil
}

// RequireCredential wraps next in a check of the operators' bearer token. An empty
// credential disables the check.
func RequireCredential(credential string, next http.Handler) http.Handler {
	want := "Bearer " + credential
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := r.Header.Get("Authorization")
		if credential != "" && subtle.ConstantTimeCompare([]byte(authorization), []byte(want)) != 1 {
			http.Error(w, "operator credential missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
