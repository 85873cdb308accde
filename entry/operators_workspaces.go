package entry

import (
	"context"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// What a limit counts, in operators' answers.
const (
	unitRequests = "requests"
	unitTokens   = "tokens"
)

// ListWorkspaces implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) ListWorkspaces(ctx context.Context, _ *connect.Request[martenportv1.ListWorkspacesRequest]) (*connect.Response[martenportv1.ListWorkspacesResponse], error) {
	out := &martenportv1.ListWorkspacesResponse{}
	config, freshness := s.i.access.Current()
	if config == nil {
		return connect.NewResponse(out), nil
	}
	out.ConfigVersion, out.ConfigAgeMs = config.Version, freshness.Age.Milliseconds()
	out.KeysTrusted = s.i.access.keysTrusted(config, freshness)
	totals, err := s.i.follower.queryLimits(ctx)
	out.TotalsKnown = err == nil
	local := s.i.follower.shares.Status(clock.Now())
	for _, w := range config.Workspaces {
		out.Workspaces = append(out.Workspaces, describeWorkspace(w, totals, local))
	}
	return connect.NewResponse(out), nil
}

func describeWorkspace(w serving.Workspace, totals []quota.Total, local []quota.Status) *martenportv1.Workspace {
	d := &martenportv1.Workspace{Name: w.Name, Keys: int32(len(w.Keys)), Unit: unitRequests, Rate: w.Limit.Rate, Burst: w.Limit.Burst}
	if w.Limit.Tokens {
		d.Unit = unitTokens
	}
	for _, t := range totals {
		if t.Workspace == w.Name {
			d.Demand, d.Asked, d.Refused, d.LentRate, d.Left = t.Demand, t.Asked, t.Refused, t.Lent.Rate, t.Left
		}
	}
	for _, s := range local {
		if s.Workspace == w.Name {
			d.AskedHere, d.RefusedHere = s.Asked, s.Refused
		}
	}
	return d
}
