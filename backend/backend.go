// Package backend is the client of backend servers: model engines and plain
// services. Interfaces come first so that the users' own protocol can take
// the place of the HTTP one.
package backend

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of an Engine, beside *verdict.Failure for requests.
var (
	// ErrStaleEpoch: the engine has seen a newer fencing number; the order
	// was not carried out.
	ErrStaleEpoch = errors.New("backend: stale epoch")
	// ErrRefused: the engine refused the order, which was not carried out.
	ErrRefused = errors.New("backend: order refused")
	// ErrUnknown: the answer was lost, the order may have been carried out.
	ErrUnknown = errors.New("backend: answer lost, order may have been carried out")
)

// State is the state of a model or adapter on an engine.
type State string

// The states that an engine reports. A model in any of them occupies memory.
const (
	Loading   State = "loading"
	Resident  State = "resident"
	Unloading State = "unloading"
)

// Tier is where a checkpoint is cached, as seen from one engine.
type Tier string

// The tiers, from the fastest to load to the slowest.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Unit is what an engine loads: a model version, or an adapter for a model.
type Unit struct {
	Model string `json:"model"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// ID names the unit on an engine apart from its version: two versions of one
// model are never on an engine together.
func (u Unit) ID() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "+" + u.Adapter
}

// Order asks an engine to load or unload a unit, or to change its role.
type Order struct {
	Unit
	// ID is unique to this order; the engine reports the ids it received.
	ID string `json:"id"`
	// Epoch is the fencing number, and Incarnation the engine's as its orderer
	// knows it. Engines that honour fencing refuse other incarnations' orders
	// too, so that an old order cannot reach an engine that came back empty.
	Epoch       uint64 `json:"epoch"`
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory_bytes"`
	// Role is what SetRole asks the engine to be; other orders have none.
	Role string `json:"role,omitempty"`
}

// Ack is an engine's answer to an order that it has taken.
type Ack struct {
	// Incarnation that has taken it, and that a report of it comes from.
	Incarnation string `json:"incarnation"`
}

// UnitReport is what an engine says of one unit.
type UnitReport struct {
	Unit
	State       State `json:"state"`
	MemoryBytes int64 `json:"memory_bytes"`
	// Served counts the requests that the unit has taken since it was loaded.
	Served uint64 `json:"served,omitempty"`
	// Running counts the requests of the unit in progress or waiting.
	Running int `json:"running,omitempty"`
}

// Report is an engine's account of itself. It may lag.
type Report struct {
	// Incarnation changes whenever the engine restarts empty.
	Incarnation string `json:"incarnation"`
	// Sequence grows with each change of what is loaded.
	Sequence uint64 `json:"sequence"`
	// Epoch is the highest fencing number seen, 0 if the engine ignores them.
	Epoch       uint64       `json:"epoch"`
	Units       []UnitReport `json:"units"`
	MemoryBytes int64        `json:"memory_bytes"`
	// Queue counts requests waiting, Running those in a batch.
	Queue   int  `json:"queue"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	// Role is what the engine is at present.
	Role string `json:"role,omitempty"`
	// Orders are the ids of the orders received last, newest at the end.
	Orders []string `json:"orders,omitempty"`
	// Tiers says where the checkpoints not on the accelerator are cached;
	// one that is missing is remote.
	Tiers map[string]Tier `json:"tiers,omitempty"`
}

// Attempt is one try to run a request on an engine.
type Attempt struct {
	Unit
	// ID is unique to the attempt; cancel and resume name it.
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Session   string `json:"session,omitempty"`
	// Resume asks for the rest of the answer of an attempt that was begun, from
	// sequence From on. An engine that does not know the attempt refuses; it
	// never begins it again.
	Resume bool  `json:"resume,omitempty"`
	From   int64 `json:"from,omitempty"`
}

// Token is one piece of an answer. The last one has End set and no text.
type Token struct {
	Attempt  string `json:"attempt"`
	Sequence int64  `json:"sequence"`
	Text     string `json:"text,omitempty"`
	End      bool   `json:"end,omitempty"`
}

// Stream yields the tokens of one attempt in order.
type Stream interface {
	// Next returns the next token, or a *verdict.Failure when it broke off.
	Next() (Token, error)
	// Close gives the stream up; it does not cancel the attempt.
	Close() error
}

// Engine is one model engine. Order methods return ErrStaleEpoch, ErrRefused
// or ErrUnknown; they are sent at most once for each call.
type Engine interface {
	// Fence makes the engine refuse all orders with a smaller epoch, if it
	// honours epochs, and returns a report made after that.
	Fence(ctx context.Context, epoch uint64) (Report, error)
	// Load starts a load and returns once the engine has accepted it.
	// Loading what is loaded in the same version changes nothing.
	Load(ctx context.Context, o Order) (Ack, error)
	// Unload lets running requests of the unit finish, then frees it.
	Unload(ctx context.Context, o Order) (Ack, error)
	// SetRole has the engine change to the order's role.
	SetRole(ctx context.Context, o Order) (Ack, error)
	// Report returns the state once its sequence is above after, or when the
	// engine's waiting time has passed.
	Report(ctx context.Context, after uint64) (Report, error)
	// Generate runs or resumes an attempt. Errors are *verdict.Failure.
	Generate(ctx context.Context, a Attempt) (Stream, error)
	// Cancel ends the attempt with this id.
	Cancel(ctx context.Context, attempt string) error
}

// Call is one call of a plain service.
type Call struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Body   []byte `json:"body"`
}

// Service is one plain service instance.
type Service interface {
	// Call sends the call once. Errors are *verdict.Failure.
	Call(ctx context.Context, c Call) ([]byte, error)
}
