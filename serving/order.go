package serving

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrOrderUnknown is returned if the response to an order was lost. The order may have been executed, or may be
// executed later as long as the engine's sequence number is the expected one.
var ErrOrderUnknown = errors.New("serving: order not answered, may be carried out")

// ErrOrderNotSent is returned if no connection could be made, so the engine has not received the order.
var ErrOrderNotSent = errors.New("serving: order not sent")

// Order asks an engine to load or unload a unit.
type Order struct {
	Server Server
	Unit   Unit
	Unload bool
	// Expect is the engine's sequence number on which the order was decided. The engine refuses the order at any
	// other sequence number, also if the order arrives late.
	Expect int64
	// Holder is the instance that sends the order and Fence its fencing token.
	Holder string
	Fence  int64
}

// OrderAnswer is an engine's response to an order.
type OrderAnswer int

// The responses to an order.
const (
	// OrderAccepted: the engine is executing the order.
	OrderAccepted OrderAnswer = iota + 1
	// OrderAlreadyDone: the engine already has the requested state.
	OrderAlreadyDone
	// OrderConflict: another order is in progress, or the sequence number differs.
	OrderConflict
	// OrderFenced: the engine has seen a higher fencing token.
	OrderFenced
	// OrderRefused: the address belongs to another engine, or the engine rejects the order.
	OrderRefused
)

// String returns the name of the response for logs.
func (a OrderAnswer) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}[a]
}

// Report is the state of an engine as reported by itself, some hundred milliseconds old.
type Report struct {
	// Born is when the engine's process started, in Unix milliseconds; 0 if it is not reported.
	Born int64
	// Models maps each loaded model to its adapters.
	Models map[string][]string
	// Pending are the adapters that are being loaded onto the engine.
	Pending []Unit
	// Busy is set if an order is in progress.
	Busy            bool
	Sequence        int64
	Queued, Running int
	KVUsed, KVTotal int
	Tiers           map[string]Tier
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends o once. If there is no response, the error is ErrOrderNotSent if the engine cannot have received
	// the order, else ErrOrderUnknown.
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, s Server) (Report, error)
}
