package serving

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrOrderUnknown: the answer to an order was lost. The order may have been
// carried out, or may be later if the engine's sequence still is the expected
// one.
var ErrOrderUnknown = errors.New("serving: order not answered, may be carried out")

// ErrOrderNotSent: no connection was had, so the engine has not got the order.
var ErrOrderNotSent = errors.New("serving: order not sent")

// Order asks an engine to load or unload a unit.
type Order struct {
	Server Server
	Unit   Unit
	Unload bool
	// Expect is the engine's sequence that the order was decided on; with any
	// other one the engine refuses it, also when it arrives late.
	Expect int64
	// Holder is the instance that orders and Fence its fencing token.
	Holder string
	Fence  int64
}

// OrderAnswer is an engine's answer to an order.
type OrderAnswer int

// The answers.
const (
	// OrderAccepted: the order is being carried out.
	OrderAccepted OrderAnswer = iota + 1
	// OrderHolds: what was ordered holds now.
	OrderHolds
	// OrderConflict: another order is under way, or the sequence differs.
	OrderConflict
	// OrderFenced: the engine has seen a higher fencing token.
	OrderFenced
	// OrderRefused: the engine is another one, or will not do this.
	OrderRefused
)

// String names the answer for logs.
func (a OrderAnswer) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}[a]
}

// Report is an engine's account of itself, some hundred milliseconds old.
type Report struct {
	// Born is when the engine started, in milliseconds of the Unix epoch; 0 if it does not
	// say.
	Born int64
	// Models maps each loaded model to its adapters.
	Models map[string][]string
	// Pending are adapters on their way to the engine.
	Pending []Unit
	// Busy: an order is under way.
	Busy            bool
	Sequence        int64
	Queued, Running int
	KVUsed, KVTotal int
	Tiers           map[string]Tier
}

// Engines carries orders to engines and reads their reports.
type Engines interface {
	// Order sends o once. Without an answer the error is ErrOrderUnknown, or
	// ErrOrderNotSent if the engine cannot have got it.
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, s Server) (Report, error)
}
