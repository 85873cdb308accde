// Package intent implements operators' changes to the declaration in two steps. A
// plan lists the changes of a declaration relative to a base generation;
// confirming the plan makes the declaration the next generation, provided that the
// base generation is still current.
package intent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/table"
	"github.com/martenport/martenport/verdict"
)

// maxKeptPlans is the number of accepted plan IDs kept in the store to recognise
// repeated confirmations.
const maxKeptPlans = 64

// maxValueBytes is the store's size limit for the accepted declaration.
const maxValueBytes = 1 << 20

// Plan describes the changes that a declaration would make.
type Plan struct {
	ID             string
	BaseGeneration int64
	Changes        []declaration.Change
	Warnings       []string
}

// Intents plans and confirms declarations.
type Intents struct {
	store  store.Store
	config *table.Config
	// hasAlive reports whether an instance is known to be alive in a failure
	// domain.
	hasAlive func(domain string) bool
}

// New returns the Intents of one instance. hasAlive reports whether an instance
// is known to be alive in a failure domain.
func New(store store.Store, config *table.Config, hasAlive func(domain string) bool) *Intents {
	return &Intents{store: store, config: config, hasAlive: hasAlive}
}

// Plan validates source and compares it with the newest generation, or with the
// one in force at this instance if the store cannot be read. It has no side effects.
func (i *Intents) Plan(ctx context.Context, source []byte) (Plan, error) {
	next, err := parse(source)
	if err != nil {
		return Plan{}, err
	}
	current, _, err := i.newest(ctx)
	var warnings []string
	if err != nil {
		warnings = append(warnings, "the platform does not answer: the plan is against the generation known here and cannot be confirmed now")
		current = i.localAccepted()
	}
	before, err := indexOf(current)
	if err != nil {
		return Plan{}, err
	}
	return Plan{
		ID: planID(current.Generation, source), BaseGeneration: current.Generation,
		Changes:  declaration.Diff(before.Declaration, next),
		Warnings: append(warnings, i.unreachableWarnings()...),
	}, nil
}

// parse parses and validates a declaration. The error is a *verdict.Failure.
func parse(source []byte) (*declaration.Declaration, error) {
	if len(source) > table.MaxSourceBytes {
		return nil, verdict.Refuse(verdict.ReasonInvalid, "the declaration has %d bytes, more than %d", len(source), table.MaxSourceBytes)
	}
	d, err := declaration.Parse("declaration", source)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonInvalid, "%v", err)
	}
	return d, nil
}

// planID returns the ID of a plan, a hash of its base generation and its source, so
// that the same plan always has the same ID.
func planID(base int64, source []byte) string {
	h := sha256.New()
	h.Write([]byte(strconv.FormatInt(base, 10) + "\x00"))
	h.Write(source)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// newest reads the newest accepted declaration and its version from the store.
func (i *Intents) newest(ctx context.Context) (*table.Accepted, store.Revision, error) {
	current, version, err := store.Read[table.Accepted](ctx, i.store, store.KeyConfig)
	return &current, version, err
}

// localAccepted returns the declaration in force at this instance, an empty one if none is.
func (i *Intents) localAccepted() *table.Accepted {
	if a := i.config.Accepted(); a != nil {
		return a
	}
	return &table.Accepted{}
}

// indexOf returns the index of an accepted declaration and parses it if needed.
func indexOf(a *table.Accepted) (*declaration.Index, error) {
	if a.Generation == 0 {
		return declaration.NewIndex(0, "", &declaration.Declaration{}), nil
	}
	if index := a.Index(); index != nil {
		return index, nil // in force at this instance and shared: must not be parsed again
	}
	if err := a.Parse(); err != nil {
		return nil, errors.Wrap(err, "intent: accepted declaration")
	}
	return a.Index(), nil
}

// unreachableWarnings returns warnings for failure domains without an instance known to be
// alive: their slots count as used until they are reachable again.
func (i *Intents) unreachableWarnings() []string {
	var out []string
	for _, domain := range i.config.Index().Declaration.FailureDomains {
		if !i.hasAlive(domain) {
			out = append(out, fmt.Sprintf("failure domain %s is not reachable: it goes on with its generation, and its slots count as used, until it is back", domain))
		}
	}
	return out
}

// Confirm accepts the plan with the given ID and returns its generation. It is
// idempotent: confirming an accepted plan again returns the same generation. A refusal
// is a *verdict.Failure; its verdict is MayHaveRun if the outcome of the write is
// unknown.
func (i *Intents) Confirm(ctx context.Context, id string, base int64, source []byte) (*table.Accepted, error) {
	if _, err := parse(source); err != nil {
		return nil, err
	}
	if id != planID(base, source) {
		return nil, verdict.Refuse(verdict.ReasonInvalid, "plan %s is not of this declaration and base generation; plan again", id)
	}
	current, version, err := i.newest(ctx)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonPlatform, "nothing was accepted: %v", err)
	}
	if generation, found := acceptedAs(current, id); found {
		return &table.Accepted{Generation: generation, PlanID: id}, nil
	}
	if current.Generation != base {
		return nil, i.stale(current, base, source)
	}
	return i.accept(ctx, current, version, id, source)
}

// acceptedAs returns the generation under which a plan was accepted, false if it is
// not among the kept plan IDs.
func acceptedAs(current *table.Accepted, id string) (int64, bool) {
	at := slices.Index(current.Plans, id)
	if at < 0 {
		return 0, false
	}
	return current.Generation - int64(len(current.Plans)-1-at), true
}

// accept writes source as the generation after current, if the stored declaration
// still has the given version.
func (i *Intents) accept(ctx context.Context, current *table.Accepted, version store.Revision, id string, source []byte) (*table.Accepted, error) {
	next := &table.Accepted{
		Generation: current.Generation + 1, PlanID: id,
		Plans: append(slices.Clone(current.Plans), id),
	}
	if err := next.SetSource(source); err != nil {
		return nil, err
	}
	if len(next.Plans) > maxKeptPlans {
		next.Plans = next.Plans[len(next.Plans)-maxKeptPlans:]
	}
	value, err := Encode(next)
	if err != nil {
		return nil, err
	}
	if len(value) > maxValueBytes {
		return nil, verdict.Refuse(verdict.ReasonInvalid, "the declaration takes %d bytes of the platform's %d", len(value), maxValueBytes)
	}
	_, err = store.Write(ctx, i.store, store.KeyConfig, value, version)
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, store.ErrConflict):
		newer, _, readErr := i.newest(ctx)
		if readErr != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonPlatform, "it is not known whether the plan was accepted, confirm again")
		}
		if generation, found := acceptedAs(newer, id); found {
			return &table.Accepted{Generation: generation, PlanID: id}, nil
		}
		return nil, i.stale(newer, current.Generation, source)
	case errors.Is(err, store.ErrUnavailable):
		return nil, verdict.Refuse(verdict.ReasonPlatform, "nothing was accepted: %v", err)
	default:
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonPlatform, "it is not known whether the plan was accepted, confirm again")
	}
}

// stale returns the refusal of a plan whose base generation is not current, with
// the differences between its declaration and the current generation.
func (i *Intents) stale(current *table.Accepted, base int64, source []byte) error {
	f := verdict.Refuse(verdict.ReasonStalePlan, "the plan is against generation %d, current is %d", base, current.Generation)
	before, err := indexOf(current)
	if err != nil {
		return f
	}
	next, err := declaration.Parse("declaration", source)
	if err != nil {
		return f
	}
	var lines []string
	for _, c := range declaration.Diff(before.Declaration, next) {
		lines = append(lines, strings.TrimSpace(c.Kind+" "+c.Subject+" "+c.Detail))
	}
	f.Detail += "; confirmed now it would: " + strings.Join(lines, ", ")
	return f
}

// Encode returns the stored value of an accepted declaration.
func Encode(a *table.Accepted) ([]byte, error) { return json.Marshal(a) }

// Decode parses the stored value of an accepted declaration.
func Decode(value []byte) (*table.Accepted, error) {
	a := &table.Accepted{}
	err := json.Unmarshal(value, a)
	return a, errors.Wrap(err, "intent: platform value")
}
