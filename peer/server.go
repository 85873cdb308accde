package peer

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/verdict"
)

// defaultCallTimeout bounds a call whose caller sets no timeout.
const defaultCallTimeout = 10 * time.Second

// Server serves a Handler over net/rpc.
type Server struct {
	rpc *rpc.Server
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler, clock *event.Clock) *Server {
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", &service{handler, clock}); err != nil {
		panic(err) // the method set is fixed, so this is a programming error
	}
	return &Server{rpc: s}
}

// Serve serves connections accepted from l until l is closed.
func (s *Server) Serve(l net.Listener) {
	budget := rpcpool.NewBudget()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.rpc.ServeConn(budget.Limit(conn))
	}
}

// service adapts Handler to the method set that net/rpc requires.
type service struct {
	handler Handler
	clock   *event.Clock
}

// serve runs one call: it updates the clock from the header, applies the caller's timeout, and
// stores a returned error in reply.
func (s *service) serve(h Header, reply *Reply, run func(context.Context) error) error {
	s.clock.Observe(h.Stamp)
	timeout := defaultCallTimeout
	if h.TimeoutMS > 0 {
		timeout = time.Duration(h.TimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		reply.Failure = verdict.FromError(err)
	}
	reply.Stamp = s.clock.Now()
	return nil
}

// Exchange serves Handler.Exchange.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Exchange(ctx, args, reply) })
}

// Config serves Handler.Config.
func (s *service) Config(args *ConfigArgs, reply *ConfigReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Config(ctx, args, reply) })
}

// Wake serves Handler.Wake.
func (s *service) Wake(args *WakeArgs, reply *WakeReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Wake(ctx, args, reply) })
}

// Load serves Handler.Load.
func (s *service) Load(args *OrderArgs, reply *OrderReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Load(ctx, args, reply) })
}

// Yield serves Handler.Yield.
func (s *service) Yield(args *OrderArgs, reply *OrderReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Yield(ctx, args, reply) })
}

// Stream serves Handler.Stream.
func (s *service) Stream(args *StreamArgs, reply *StreamReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Stream(ctx, args, reply) })
}

// Events serves Handler.Events.
func (s *service) Events(args *EventsArgs, reply *EventsReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Events(ctx, args, reply) })
}

// Run serves Handler.Run.
func (s *service) Run(args *RunArgs, reply *RunReply) error {
	return s.serve(args.Header, &reply.Reply, func(ctx context.Context) error { return s.handler.Run(ctx, args, reply) })
}
