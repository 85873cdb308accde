// Package peer is the protocol between martenport's own processes, over
// net/rpc: an exchange of table changes, and calls to the instance that holds
// a model's wake or orders an engine.
package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/event"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// ErrUnreachable: the instance did not answer; the call may have been carried
// out. Every peer call may be repeated.
var ErrUnreachable = errors.New("peer: instance did not answer")

// Header travels with each call and each answer.
type Header struct {
	From  string
	Stamp event.Stamp
	// TimeoutMS is the time that the caller will wait.
	TimeoutMS int64
}

// Reply travels with each answer.
type Reply struct {
	Stamp event.Stamp
	// Failure is set when the call was refused.
	Failure *verdict.Failure
}

// head gives access to what all answers have.
func (r *Reply) head() *Reply { return r }

// answer is a pointer to any of the answers.
type answer[R any] interface {
	*R
	head() *Reply
}

// ExchangeArgs asks for what changed after Since.
type ExchangeArgs struct {
	Header
	// Incarnation is that of the answering instance, as known from its last
	// answer; Since is of no use to another one.
	Incarnation   int64
	Since         uint64
	FailureDomain string
	// WaitMS is how long to wait when nothing has changed.
	WaitMS int64
	// Introduce, at first contact, holds the asking instance's own entry and
	// its view of the answering one.
	Introduce []table.Member
}

// ExchangeReply brings the changes.
type ExchangeReply struct {
	Reply
	Incarnation int64
	Generation  int64
	Delta       table.Delta
}

// ConfigArgs asks for the declaration in force.
type ConfigArgs struct{ Header }

// ConfigReply brings it; Accepted is nil when there is none.
type ConfigReply struct {
	Reply
	Accepted *table.Accepted
}

// WakeArgs asks the holder of a unit's wake to have it loaded somewhere.
type WakeArgs struct {
	Header
	Unit backend.Unit
	// LatestMS is how long from now the last request waits for it.
	LatestMS int64
	// Replicas is how many there are already, of which there should be one
	// more; 0 asks for one at all.
	Replicas int
}

// WakeReply names an engine on which the unit is resident.
type WakeReply struct {
	Reply
	Engine string
	// Residency of the engine, so that the asking instance need not wait to
	// hear of it; nil when it is not known here.
	Residency *table.Residency
}

// OrderArgs asks the orderer of an engine to load a unit or yield its slot.
type OrderArgs struct {
	Header
	Engine string
	Unit   backend.Unit
}

// OrderReply says that it is done, or why not.
type OrderReply struct {
	Reply
	// Residency of the engine after a load.
	Residency *table.Residency
}

// StreamArgs asks the gate of a failure domain for a stream of the weight store.
type StreamArgs struct {
	Header
	Engine, Unit string
	Bytes        int64
	// LatestMS is how long from now the load is of use.
	LatestMS int64
}

// StreamReply says that it is granted, or why not.
type StreamReply struct{ Reply }

// EventsArgs asks for the events that pass a filter.
type EventsArgs struct {
	Header
	Filter event.Filter
}

// EventsReply brings them, oldest first.
type EventsReply struct {
	Reply
	Events []event.Event
}

// RunArgs asks what became of the run of a key that this instance recorded.
type RunArgs struct {
	Header
	Key string
}

// RunReply brings the answer that is still held.
type RunReply struct {
	Reply
	Answer []byte
}

// Handler answers the calls of other instances. A returned error reaches the
// caller as a *verdict.Failure.
type Handler interface {
	Exchange(ctx context.Context, args *ExchangeArgs, reply *ExchangeReply) error
	Config(ctx context.Context, args *ConfigArgs, reply *ConfigReply) error
	Wake(ctx context.Context, args *WakeArgs, reply *WakeReply) error
	Load(ctx context.Context, args *OrderArgs, reply *OrderReply) error
	Yield(ctx context.Context, args *OrderArgs, reply *OrderReply) error
	Stream(ctx context.Context, args *StreamArgs, reply *StreamReply) error
	Events(ctx context.Context, args *EventsArgs, reply *EventsReply) error
	Run(ctx context.Context, args *RunArgs, reply *RunReply) error
}

// Client calls other instances, over one connection each.
type Client struct {
	self  string
	clock *event.Clock
	pool  *rpcpool.Pool
}

// NewClient returns a client that calls in the name of instance self.
func NewClient(self string, clock *event.Clock, dial rpcpool.Dial) *Client {
	return &Client{self: self, clock: clock, pool: rpcpool.New(dial)}
}

// Header returns the header of a call made now under ctx.
func (c *Client) Header(ctx context.Context) Header {
	h := Header{From: c.self, Stamp: c.clock.Now()}
	if deadline, set := ctx.Deadline(); set {
		h.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	return h
}

// invoke makes one call. The error is ErrUnreachable or the answer's Failure.
// An answer that comes after ctx has ended is never looked at.
func invoke[R any, P answer[R]](ctx context.Context, c *Client, address, method string, args any) (R, error) {
	var none R
	reply := P(new(R))
	if err := c.pool.Call(ctx, address, method, args, reply); err != nil {
		return none, errors.Wrap(ErrUnreachable, err.Error())
	}
	c.clock.Observe(reply.head().Stamp)
	if f := reply.head().Failure; f != nil {
		return *reply, f
	}
	return *reply, nil
}

// Disconnect closes the connection to an instance that does not answer, so
// that the next call opens a new one.
func (c *Client) Disconnect(address string) { c.pool.Disconnect(address) }

// Close closes all connections.
func (c *Client) Close() { c.pool.Close() }

// Exchange calls Handler.Exchange at address.
func (c *Client) Exchange(ctx context.Context, address string, args ExchangeArgs) (ExchangeReply, error) {
	args.Header = c.Header(ctx)
	return invoke[ExchangeReply](ctx, c, address, "Peer.Exchange", &args)
}

// Config calls Handler.Config at address.
func (c *Client) Config(ctx context.Context, address string) (*table.Accepted, error) {
	reply, err := invoke[ConfigReply](ctx, c, address, "Peer.Config", &ConfigArgs{c.Header(ctx)})
	return reply.Accepted, err
}

// Wake calls Handler.Wake at address.
func (c *Client) Wake(ctx context.Context, address string, args WakeArgs) (WakeReply, error) {
	args.Header = c.Header(ctx)
	return invoke[WakeReply](ctx, c, address, "Peer.Wake", &args)
}

// Load calls Handler.Load at address and returns the engine's residency.
func (c *Client) Load(ctx context.Context, address, engine string, u backend.Unit) (*table.Residency, error) {
	reply, err := invoke[OrderReply](ctx, c, address, "Peer.Load", &OrderArgs{Header: c.Header(ctx), Engine: engine, Unit: u})
	return reply.Residency, err
}

// Yield calls Handler.Yield at address.
func (c *Client) Yield(ctx context.Context, address, engine string, u backend.Unit) error {
	_, err := invoke[OrderReply](ctx, c, address, "Peer.Yield", &OrderArgs{Header: c.Header(ctx), Engine: engine, Unit: u})
	return err
}

// Stream calls Handler.Stream at address.
func (c *Client) Stream(ctx context.Context, address string, args StreamArgs) error {
	args.Header = c.Header(ctx)
	_, err := invoke[StreamReply](ctx, c, address, "Peer.Stream", &args)
	return err
}

// Events calls Handler.Events at address.
func (c *Client) Events(ctx context.Context, address string, f event.Filter) ([]event.Event, error) {
	reply, err := invoke[EventsReply](ctx, c, address, "Peer.Events", &EventsArgs{c.Header(ctx), f})
	return reply.Events, err
}

// Run calls Handler.Run at address.
func (c *Client) Run(ctx context.Context, address, key string) ([]byte, error) {
	reply, err := invoke[RunReply](ctx, c, address, "Peer.Run", &RunArgs{c.Header(ctx), key})
	return reply.Answer, err
}
