package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/internal/clock"
)

const methodCapacity = "Entry.Capacity"

// CapacityArgs asks the holder for the capacity of the engines.
type CapacityArgs struct{}

// CapacityReply is the holder's answer. Held is false if the answering instance is not the holder.
type CapacityReply struct {
	Held     bool
	Capacity holder.Capacity
}

// Capacity returns the capacity of the engines.
func (s *service) Capacity(_ *CapacityArgs, reply *CapacityReply) error {
	reply.Capacity, reply.Held = s.holder.Capacity(clock.Now())
	return nil
}

// queryCapacity asks the holder for the capacity of the engines, and returns the holder's name with it.
func (f *follower) queryCapacity(ctx context.Context) (c holder.Capacity, name string, err error) {
	record, live := f.liveHolder()
	if !live {
		return c, "", errors.New("no instance is known to hold the lease and to answer; without one nobody has the figures of all instances")
	}
	var reply CapacityReply
	if err := f.call(ctx, record, callTimeout, methodCapacity, &CapacityArgs{}, &reply); err != nil {
		return c, record.Holder, errors.Wrapf(err, "the lease holder %s does not answer", record.Holder)
	}
	if !reply.Held {
		return c, record.Holder, errors.Newf("%s does not hold the lease any more, and its successor is not known yet", record.Holder)
	}
	return reply.Capacity, record.Holder, nil
}

// GetCapacity implements martenportv1connect.OperatorServiceHandler.
func (s operatorService) GetCapacity(ctx context.Context, _ *connect.Request[martenportv1.GetCapacityRequest]) (*connect.Response[martenportv1.GetCapacityResponse], error) {
	c, name, err := s.i.follower.queryCapacity(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := describeCapacity(c)
	out.Holder = name
	return connect.NewResponse(out), nil
}

func describeCapacity(c holder.Capacity) *martenportv1.GetCapacityResponse {
	out := &martenportv1.GetCapacityResponse{
		ShortModelsTotal: int32(c.ShortModelsTotal), WaitlistTotal: int32(c.WaitlistTotal),
		LoadsHeld: int32(c.LoadsHeld), EngineSpeedsTotal: int32(c.SpeedsTotal),
	}
	for _, r := range c.Classes {
		out.Classes = append(out.Classes, &martenportv1.ClassCapacity{
			Service: r.Service, Priority: int32(r.Class.Priority), ObjectiveMs: r.Class.Objective.Milliseconds(),
			Requested: r.Requested, Offered: r.Offered, Served: r.Served, Guaranteed: r.Guaranteed, Lent: r.Lent, AdmittedShare: r.Share,
		})
	}
	for _, m := range c.ShortModels {
		out.ShortModels = append(out.ShortModels, &martenportv1.ShortModel{
			Model: m.Model, Copies: int32(m.Copies), Wanted: int32(m.Wanted), Offered: m.Offered, Running: m.Running,
		})
	}
	for _, q := range c.Waitlist {
		out.Waitlist = append(out.Waitlist, &martenportv1.WaitlistQueue{
			Model: q.Model, Priority: int32(q.Class.Priority), ObjectiveMs: q.Class.Objective.Milliseconds(),
			Listed: int32(q.Listed), Due: int32(q.Due), OldestMs: q.Oldest.Milliseconds(),
		})
	}
	for _, s := range c.Speeds {
		out.EngineSpeeds = append(out.EngineSpeeds, &martenportv1.EngineSpeed{Engine: s.Engine, Speed: s.Speed})
	}
	return out
}
