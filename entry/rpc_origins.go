package entry

import (
	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/internal/clock"
)

// RPC methods about the origins of streams.
const (
	methodRecordOrigin  = "Entry.RecordOrigin"
	methodRecordOrigins = "Entry.RecordOrigins"
	methodOrigin        = "Entry.Origin"
)

// RecordOriginArgs has the origin of a stream, by the attempt that brought its first event.
type RecordOriginArgs struct {
	Attempt string
	Origin  skew.Origin
}

// RecordOriginReply is empty.
type RecordOriginReply struct{}

// RecordOriginsArgs has the origins of streams that began while their service had one software version.
type RecordOriginsArgs struct{ Entries []skew.Entry }

// OriginArgs asks for the origin of a stream of a service.
type OriginArgs struct{ Attempt, Service string }

// OriginReply has the origin if it is known. Otherwise Versions are the software versions at which streams of the service
// began, or if the instance is not certain that it knows all, Reported are those that it knows. Marked is set if its certainty
// rests on marks; builds without them were certain of what they saw.
type OriginReply struct {
	Known, Marked      bool
	Versions, Reported []string
	Origin             skew.Origin
}

// errNotRestored is returned by an instance that does not know yet what an earlier process of it kept.
var errNotRestored = errors.New("entry: the archived origins of streams are not read yet")

// errLeaving is returned by an instance that is about to end and keeps nothing new for others.
var errLeaving = errors.New("entry: the instance is leaving")

// RecordOrigin records the origin of a stream.
func (s *service) RecordOrigin(args *RecordOriginArgs, _ *RecordOriginReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	s.origins.keep(skew.Entry{Attempt: args.Attempt, Origin: args.Origin}, clock.Now())
	return nil
}

// RecordOrigins records the origins of streams.
func (s *service) RecordOrigins(args *RecordOriginsArgs, _ *RecordOriginReply) error {
	if s.follower.isLeaving() {
		return errLeaving
	}
	for _, e := range args.Entries {
		s.origins.keep(e, clock.Now())
	}
	return nil
}

// Origin returns what is known of the origin of a stream.
func (s *service) Origin(args *OriginArgs, reply *OriginReply) error {
	*reply = s.origins.answer(args)
	if !reply.Known && !s.origins.archive.restored.Load() {
		return errNotRestored
	}
	return nil
}
