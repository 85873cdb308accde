// Package peer implements the protocol between instances, over net/rpc: the exchange of table
// changes, and calls to the instance that coordinates a model's wake or orders an engine.
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

// ErrUnreachable is returned when the instance did not answer. The call may have been executed;
// every peer call may safely be repeated.
var ErrUnreachable = errors.New("peer: instance did not answer")

// Header is part of the arguments of each call.
type Header struct {
	From  string
	Stamp event.Stamp
	// TimeoutMS is how long the caller waits for the reply, in milliseconds; 0 means no deadline.
	TimeoutMS int64
}

// Reply is part of each reply.
type Reply struct {
	Stamp event.Stamp
	// Failure is set when the call failed or was refused.
	Failure *verdict.Failure
}

// base returns the Reply embedded in each reply.
func (r *Reply) base() *Reply { return r }

// replyPointer is a pointer to any of the reply types.
type replyPointer[R any] interface {
	*R
	base() *Reply
}

// ExchangeArgs requests the changes after sequence number Since.
type ExchangeArgs struct {
	Header
	// Incarnation is the incarnation of the called instance, from its last reply. Since is valid
	// for that incarnation only.
	Incarnation   int64
	Since         uint64
	FailureDomain string
	// WaitMS is how long to wait for a change, in milliseconds.
	WaitMS int64
	// Introduce is set in the first exchange. It contains the calling instance's own entry and the
	// entry that it has of the called one.
	Introduce []table.Member
}

// ExchangeReply contains the changes.
type ExchangeReply struct {
	Reply
	Incarnation int64
	Generation  int64
	Delta       table.Delta
}

// ConfigArgs requests the declaration in force.
type ConfigArgs struct{ Header }

// ConfigReply contains the declaration in force; Accepted is nil if there is none.
type ConfigReply struct {
	Reply
	Accepted *table.Accepted
}

// WakeArgs requests that the coordinator of a unit's wakes load the unit on some engine.
type WakeArgs struct {
	Header
	Unit backend.Unit
	// LatestMS is how long from now any request waits for the unit, in milliseconds.
	LatestMS int64
	// Replicas is the number of existing replicas if one more is requested; 0 requests the first
	// one.
	Replicas int
}

// WakeReply contains the name of an engine on which the unit is resident.
type WakeReply struct {
	Reply
	Engine string
	// Residency is the state of the engine, so that the caller need not wait for the next exchange;
	// nil if it is not known to the called instance.
	Residency *table.Residency
}

// OrderArgs requests that the orderer of an engine load a unit or release its slot.
type OrderArgs struct {
	Header
	Engine string
	Unit   backend.Unit
}

// OrderReply reports success, or the failure in Reply.
type OrderReply struct {
	Reply
	// Residency is the state of the engine after a load.
	Residency *table.Residency
}

// StreamArgs requests a stream of the weight store from the gate of a failure domain.
type StreamArgs struct {
	Header
	Engine, Unit string
	Bytes        int64
	// LatestMS is how long from now the result of the load can be used, in milliseconds.
	LatestMS int64
}

// StreamReply reports that the stream is granted, or the failure in Reply.
type StreamReply struct{ Reply }

// EventsArgs requests the events that match a filter.
type EventsArgs struct {
	Header
	Filter event.Filter
}

// EventsReply contains the matching events, oldest first.
type EventsReply struct {
	Reply
	Events []event.Event
}

// RunArgs requests the recorded answer of the run with a key that the called instance recorded.
type RunArgs struct {
	Header
	Key string
}

// RunReply contains the answer if the called instance still holds it.
type RunReply struct {
	Reply
	Answer []byte
}

// Handler handles the calls of other instances. A returned error reaches the caller as a
// *verdict.Failure.
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

// Client calls other instances, over one connection to each.
type Client struct {
	self  string
	clock *event.Clock
	pool  *rpcpool.Pool
}

// NewClient returns a client whose calls name self as the calling instance.
func NewClient(self string, clock *event.Clock, dial rpcpool.Dial) *Client {
	return &Client{self: self, clock: clock, pool: rpcpool.New(dial)}
}

// Header returns the header for a call made now with the deadline of ctx.
func (c *Client) Header(ctx context.Context) Header {
	h := Header{From: c.self, Stamp: c.clock.Now()}
	if deadline, set := ctx.Deadline(); set {
		h.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	return h
}

// invoke makes one call. The error is ErrUnreachable or the Failure in the reply. A reply that
// arrives after ctx has ended is not read.
func invoke[R any, P replyPointer[R]](ctx context.Context, c *Client, address, method string, args any) (R, error) {
	var zero R
	reply := P(new(R))
	if err := c.pool.Call(ctx, address, method, args, reply); err != nil {
		return zero, errors.Wrap(ErrUnreachable, err.Error())
	}
	c.clock.Observe(reply.base().Stamp)
	if f := reply.base().Failure; f != nil {
		return *reply, f
	}
	return *reply, nil
}

// Disconnect closes the connection to an instance that does not answer, so that the next call opens
// a new one.
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
