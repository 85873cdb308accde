package entry

import (
	"context"

	"github.com/martenport/martenport/command/brittle"
)

// RPC methods about permits to send to brittle servers.
const (
	methodAcquirePermit = "Entry.AcquirePermit"
	methodReleasePermit = "Entry.ReleasePermit"
	methodRenewPermits  = "Entry.RenewPermits"
)

// AcquirePermitArgs asks an instance that keeps a server's semaphore for a permit. Relayed is set if another instance passes
// the call on.
type AcquirePermitArgs struct {
	brittle.Request
	Relayed bool
}

// AcquirePermitReply says whether the permit is granted.
type AcquirePermitReply struct{ brittle.Grant }

// ReleasePermitArgs ends the use of a permit, or says that the server has accepted its request.
type ReleasePermitArgs struct {
	Server  brittle.Server
	Permit  brittle.Permit
	Outcome brittle.Outcome
	// Running is set if the server has accepted the request, which goes on.
	Running, Relayed bool
}

// ReleasePermitReply is empty.
type ReleasePermitReply struct{}

// RenewPermitsArgs renews an instance's permits.
type RenewPermitsArgs struct {
	Renewals []brittle.Renewal
	Relayed  bool
}

// RenewPermitsReply is empty.
type RenewPermitsReply struct{}

// AcquirePermit answers whether an instance may send a request to a brittle server.
func (s *service) AcquirePermit(args *AcquirePermitArgs, reply *AcquirePermitReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	s.recordCaller(args.Permit.Instance)
	if !args.Relayed {
		passedOn, answer := *args, &AcquirePermitReply{}
		passedOn.Relayed = true
		if s.limiter.permits.relay(args.Server, args.Wait, methodAcquirePermit, &passedOn, answer) {
			*reply = *answer
			return nil
		}
	}
	reply.Grant = s.semaphores.of(args.Server, args.Substitute).Acquire(context.Background(), args.Request)
	return nil
}

// ReleasePermit records that a brittle server has accepted a request, or that the request has ended.
func (s *service) ReleasePermit(args *ReleasePermitArgs, _ *ReleasePermitReply) error {
	if !args.Relayed {
		passedOn := *args
		passedOn.Relayed = true
		if s.limiter.permits.relay(args.Server, 0, methodReleasePermit, &passedOn, &ReleasePermitReply{}) {
			return nil
		}
	}
	if args.Running {
		s.semaphores.of(args.Server, false).Accept(args.Permit)
		return nil
	}
	s.semaphores.release(args.Server, args.Permit, args.Outcome)
	return nil
}

// RenewPermits records what an instance has in flight at brittle servers.
func (s *service) RenewPermits(args *RenewPermitsArgs, _ *RenewPermitsReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	for _, r := range args.Renewals {
		s.recordCaller(r.Instance)
		passedOn := &RenewPermitsArgs{Renewals: []brittle.Renewal{r}, Relayed: true}
		if args.Relayed || !s.limiter.permits.relay(r.Server, 0, methodRenewPermits, passedOn, &RenewPermitsReply{}) {
			s.semaphores.of(r.Server, r.Substitute).Renew(r)
		}
	}
	return nil
}

// recordCaller records that an instance has called.
func (s *service) recordCaller(name string) {
	if name != s.follower.name {
		s.limiter.permits.recordHeard()
	}
}
