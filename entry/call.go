package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/lease"
)

// call calls the holder, without the network if that is this instance.
func (f *follower) call(ctx context.Context, record lease.Record, timeout time.Duration, method string, args, reply any) error {
	if record.Holder == f.name {
		return f.callSelf(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.pool.Call(ctx, record.Address, method, args, reply)
}

func (f *follower) callSelf(args, reply any) error {
	switch a := args.(type) {
	case *ExchangeArgs:
		return f.self.Exchange(a, reply.(*ExchangeReply))
	case *WantArgs:
		return f.self.Want(a, reply.(*WantReply))
	case *UseArgs:
		return f.self.Use(a, reply.(*UseReply))
	case *TrialArgs:
		return f.self.Trial(a, reply.(*TrialReply))
	case *ConsultArgs:
		return f.self.Consult(a, reply.(*ConsultReply))
	case *DrawArgs:
		return f.self.Draw(a, reply.(*DrawReply))
	case *TurnArgs:
		return f.self.Turn(a, reply.(*TurnReply))
	case *LimitsArgs:
		return f.self.Limits(a, reply.(*LimitsReply))
	case *CapacityArgs:
		return f.self.Capacity(a, reply.(*CapacityReply))
	default:
		return errors.Newf("entry: unsupported call %T", args)
	}
}
