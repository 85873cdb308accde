package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// ListQuarantine implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) ListQuarantine(context.Context, *connect.Request[martenportv1.ListQuarantineRequest]) (*connect.Response[martenportv1.ListQuarantineResponse], error) {
	out := &martenportv1.ListQuarantineResponse{}
	for _, r := range s.i.quarantine.ledger.List(clock.Now()) {
		held := &martenportv1.HeldRequest{Fingerprint: string(r.Fingerprint), Subject: r.Subject, State: r.State().String(), AgeMs: r.Age.Milliseconds()}
		for _, incarnation := range r.Crashes {
			held.Servers = append(held.Servers, incarnation.Server)
		}
		out.Requests = append(out.Requests, held)
	}
	return connect.NewResponse(out), nil
}

// Release implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) Release(_ context.Context, msg *connect.Request[martenportv1.ReleaseRequest]) (*connect.Response[martenportv1.ReleaseResponse], error) {
	fp := serving.Fingerprint(msg.Msg.Fingerprint)
	before, changed := s.i.quarantine.ledger.Clear(fp, clock.Now())
	if !changed || before == quarantine.Clear {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("no request %s is held", fp))
	}
	s.i.log.WithFields(logrus.Fields{"fingerprint": fp, "state": before}).Warn("request released by an operator")
	s.i.quarantine.recordCleared(fp, before)
	return connect.NewResponse(&martenportv1.ReleaseResponse{State: before.String()}), nil
}
