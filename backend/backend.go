// Package backend is the client of backend servers, which are model engines and
// plain services. It defines interfaces apart from their HTTP implementation, so
// that a deployment can use its own protocol instead.
package backend

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors returned by the order methods and Report of an Engine. Requests return
// *verdict.Failure instead.
var (
	// ErrStaleEpoch means that the engine has seen a higher epoch; the order was not
	// executed.
	ErrStaleEpoch = errors.New("backend: stale epoch")
	// ErrRefused means that the engine refused the order or was not reached; the
	// order was not executed.
	ErrRefused = errors.New("backend: order refused")
	// ErrUnknown means that no valid answer was received; the order may have been
	// executed.
	ErrUnknown = errors.New("backend: answer lost, order may have been carried out")
)

// State is the state of a model or adapter on an engine.
type State string

// States reported by an engine. A unit occupies memory in each of them.
const (
	Loading   State = "loading"
	Resident  State = "resident"
	Unloading State = "unloading"
)

// Tier is the storage tier where a checkpoint is cached, as seen from one engine.
type Tier string

// Tiers, from the fastest to the slowest to load from.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// Unit is an item that an engine loads: a version of a model, or of an adapter for
// a model.
type Unit struct {
	Model string `json:"model"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// ID identifies the unit on an engine. It omits the version, since an engine never
// holds two versions of a model at the same time.
func (u Unit) ID() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "+" + u.Adapter
}

// Order is an instruction to an engine to load or unload a unit, or to change its
// role.
type Order struct {
	Unit
	// ID is unique to this order; the engine reports the IDs that it has received.
	ID string `json:"id"`
	// Epoch is the fencing token, and Incarnation is the engine incarnation known to
	// the orderer. Engines with fencing also refuse orders for another incarnation,
	// so that a delayed order cannot take effect on an engine that has restarted
	// empty.
	Epoch       uint64 `json:"epoch"`
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory_bytes"`
	// Role is the new role in a SetRole order; it is empty in other orders.
	Role string `json:"role,omitempty"`
}

// Ack is an engine's answer to an order that it has accepted.
type Ack struct {
	// Incarnation is the engine incarnation that accepted the order; only its reports
	// can show the effect of the order.
	Incarnation string `json:"incarnation"`
}

// UnitReport is the state of one unit in an engine's report.
type UnitReport struct {
	Unit
	State       State `json:"state"`
	MemoryBytes int64 `json:"memory_bytes"`
	// Served is the number of requests that the unit has received since it was loaded.
	Served uint64 `json:"served,omitempty"`
	// Running is the number of the unit's requests in progress or queued.
	Running int `json:"running,omitempty"`
}

// Report is the state of an engine as reported by itself. It may be out of date.
type Report struct {
	// Incarnation changes whenever the engine restarts empty.
	Incarnation string `json:"incarnation"`
	// Sequence increases with each change of the loaded units.
	Sequence uint64 `json:"sequence"`
	// Epoch is the highest epoch seen, 0 if the engine does not support fencing.
	Epoch       uint64       `json:"epoch"`
	Units       []UnitReport `json:"units"`
	MemoryBytes int64        `json:"memory_bytes"`
	// Queue is the number of requests queued, Running the number in a batch.
	Queue   int  `json:"queue"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	// Role is the engine's current role.
	Role string `json:"role,omitempty"`
	// Orders are the IDs of the most recently received orders, newest last.
	Orders []string `json:"orders,omitempty"`
	// Tiers holds the storage tier of checkpoints that are not loaded; a checkpoint
	// without an entry is remote.
	Tiers map[string]Tier `json:"tiers,omitempty"`
}

// Attempt is one attempt to run a request on an engine.
type Attempt struct {
	Unit
	// ID is unique to the attempt; it identifies the attempt to cancel or resume.
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Session   string `json:"session,omitempty"`
	// Resume requests the remainder of the answer of a started attempt, beginning at
	// sequence number From. An engine that does not know the attempt must refuse and
	// must not start it again.
	Resume bool  `json:"resume,omitempty"`
	From   int64 `json:"from,omitempty"`
}

// Token is one part of an answer. The last one has End set and no text.
type Token struct {
	Attempt  string `json:"attempt"`
	Sequence int64  `json:"sequence"`
	Text     string `json:"text,omitempty"`
	End      bool   `json:"end,omitempty"`
}

// Stream yields the tokens of one attempt in order.
type Stream interface {
	// Next returns the next token, or a *verdict.Failure if the stream broke off.
	Next() (Token, error)
	// Close releases the stream; it does not cancel the attempt.
	Close() error
}

// Engine is a client of one model engine. Fence, Load, Unload and SetRole return
// ErrStaleEpoch, ErrRefused or ErrUnknown, and send the order at most once per call.
type Engine interface {
	// Fence makes an engine with fencing refuse all orders with a lower epoch, and
	// returns a report made afterwards.
	Fence(ctx context.Context, epoch uint64) (Report, error)
	// Load starts a load and returns once the engine has accepted it. It has no
	// effect if the unit is already loaded in the same version.
	Load(ctx context.Context, o Order) (Ack, error)
	// Unload lets the unit's running requests finish, then unloads it.
	Unload(ctx context.Context, o Order) (Ack, error)
	// SetRole makes the engine change to the order's role.
	SetRole(ctx context.Context, o Order) (Ack, error)
	// Report returns the engine's state as soon as its sequence is above after, or
	// when the engine's long-poll timeout has passed.
	Report(ctx context.Context, after uint64) (Report, error)
	// Generate runs or resumes an attempt. Errors are *verdict.Failure.
	Generate(ctx context.Context, a Attempt) (Stream, error)
	// Cancel cancels the attempt with the given ID.
	Cancel(ctx context.Context, attempt string) error
}

// Call is one call to a plain service.
type Call struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Body   []byte `json:"body"`
}

// Service is a client of one server of a plain service.
type Service interface {
	// Call sends the call once and returns the answer. Errors are *verdict.Failure.
	Call(ctx context.Context, c Call) ([]byte, error)
}
