package entry

import (
	"context"
	"time"

	"github.com/martenport/martenport/internal/clock"
)

// methodLoadable asks the holder which engines could load a model quickly.
const methodLoadable = "Entry.Loadable"

// loadableTimeout bounds the query. It delays the send of a stream.
const loadableTimeout = 100 * time.Millisecond

// LoadableArgs asks which engines of a service could load a model from their memory or disk.
type LoadableArgs struct{ Service, Model string }

// LoadableReply has these engines; none if the answering instance is not the holder.
type LoadableReply struct{ Engines []string }

// Loadable answers which engines could load a model.
func (s *service) Loadable(args *LoadableArgs, reply *LoadableReply) error {
	engines, err := s.holder.Loadable(args.Service, args.Model, clock.Now())
	if err == nil {
		reply.Engines = engines
	}
	return nil
}

// Loadable implements forward.Loadable. Without a holder there are none.
func (f *follower) Loadable(ctx context.Context, service, model string) []string {
	record, live := f.liveHolder()
	if !live {
		return nil
	}
	var reply LoadableReply
	if err := f.call(ctx, record, loadableTimeout, methodLoadable, &LoadableArgs{Service: service, Model: model}, &reply); err != nil {
		return nil
	}
	return reply.Engines
}
