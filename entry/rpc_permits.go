package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/command/brittle"
)

// RPC methods about permits to send to brittle servers.
const (
	methodAcquirePermit = "Entry.AcquirePermit"
	methodReleasePermit = "Entry.ReleasePermit"
	methodRenewPermits  = "Entry.RenewPermits"
)

// AcquirePermitArgs asks an instance that keeps a server's semaphore for a permit.
type AcquirePermitArgs struct{ brittle.Request }

// AcquirePermitReply says whether the permit is granted, and if not, when there may be room.
type AcquirePermitReply struct {
	Granted    bool
	RetryAfter time.Duration
}

// ReleasePermitArgs ends the use of a permit.
type ReleasePermitArgs struct {
	Server  brittle.Server
	Permit  brittle.Permit
	Outcome brittle.Outcome
}

// ReleasePermitReply is empty.
type ReleasePermitReply struct{}

// RenewPermitsArgs renews an instance's permits at all semaphores that another one keeps.
type RenewPermitsArgs struct{ Renewals []brittle.Renewal }

// RenewPermitsReply is empty.
type RenewPermitsReply struct{}

// AcquirePermit answers whether an instance may send a request to a brittle server.
func (s *service) AcquirePermit(args *AcquirePermitArgs, reply *AcquirePermitReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	reply.Granted, reply.RetryAfter = s.semaphores.of(args.Server).Acquire(context.Background(), args.Request)
	return nil
}

// ReleasePermit records that a request to a brittle server has ended.
func (s *service) ReleasePermit(args *ReleasePermitArgs, _ *ReleasePermitReply) error {
	s.semaphores.release(args.Server, args.Permit, args.Outcome)
	return nil
}

// RenewPermits records what an instance has in flight at brittle servers.
func (s *service) RenewPermits(args *RenewPermitsArgs, _ *RenewPermitsReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	for _, r := range args.Renewals {
		s.semaphores.of(r.Server).Renew(r)
	}
	return nil
}
