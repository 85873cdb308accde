// Package access determines the workspace of a request, and decides whether the instance may run
// the request given what it knows about keys. It does no I/O and reads no clock: times are passed
// in.
//
// Keys are added and removed by configurations. An instance receives a new configuration after some
// delay, and none while it is isolated. What it knows is therefore judged by its age: the time
// since it was certain that no newer configuration had been accepted. If revocation fails closed, a
// request that needs a key is refused once that age exceeds the bound. So no key works for longer
// than the bound after its removal, whatever the instance is isolated from and however long its
// machine was suspended. If revocation fails open, an isolated instance continues with the keys
// that it knows.
package access

import (
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// Policy sets how long knowledge about keys is relied on.
type Policy struct {
	// FailClosed is set if keys are not relied on after Bound.
	FailClosed bool
	// Bound is the longest time for which a key may work after its removal.
	Bound time.Duration
	// PropagationBound is the longest time for which an accepted configuration may be unknown to an
	// instance, 0 if the deployment does not specify it.
	PropagationBound time.Duration
}

// maxConfirmationAge returns the age of the last confirmation of a configuration up to which it certainly was in force a bound
// ago. All rules about the age of a configuration are derived from it. An age counts from the end of a watch without a
// change, or from an earlier time, wherever that watch ended and whoever passed on the confirmation.
func maxConfirmationAge(bound time.Duration) time.Duration { return max(0, bound-store.MaxWatchDelay) }

// MaxAge returns the age up to which keys are relied on if revocation fails closed, 0 if it does not.
func (p Policy) MaxAge() time.Duration {
	if !p.FailClosed {
		return 0
	}
	return maxConfirmationAge(p.Bound)
}

// KeysTrusted reports whether keys are relied on if the last confirmation of the configuration has
// the given age.
func (p Policy) KeysTrusted(age time.Duration) bool {
	return !p.FailClosed || age <= p.MaxAge()
}

// ConfigStatus is a message from one instance to another that states how current its configuration
// is.
type ConfigStatus struct {
	// Version is that of the configuration in force there, 0 if there is none.
	Version int64
	// Age is how long before the creation of the message it was last certain that there was no newer
	// configuration.
	Age time.Duration
}

// ConfirmedAt returns the time at which it was last certain that there was no newer configuration,
// by the clock of the receiver. sentAt is when the receiver sent the request that was answered with
// the message; since the message was created later, the result is a safe lower bound.
func (s ConfigStatus) ConfirmedAt(sentAt time.Time) time.Time { return sentAt.Add(-s.Age) }

// Freshness states how current the configuration is known to be when a request is judged.
type Freshness struct {
	// Age is the time since it was last certain that there was no newer configuration.
	Age time.Duration
	// NewerExists is set if a newer configuration is known to exist but has not been received yet.
	NewerExists bool
	// HolderReachable is set if another instance that relays updates from the store can be reached,
	// so that this instance is not isolated on its own.
	HolderReachable bool
}

// Retry-After times.
const (
	// outdatedRetryAfter applies to a key or route that may be in a configuration that has not been
	// received yet: a new configuration is distributed within one or two seconds.
	outdatedRetryAfter = 500 * time.Millisecond
	// isolatedRetryAfter applies while this instance is isolated and others are not.
	isolatedRetryAfter = 50 * time.Millisecond
	// outageRetryAfter applies while the store does not answer any instance.
	outageRetryAfter = time.Second
)

// maxAbsenceAge is the age of the knowledge up to which a key or route that is not in the
// configuration can be regarded as non-existent. An instance with a working connection receives
// updates within one second for the watch, one second for the report, and the transmission time. If
// the knowledge is older, the key or route may be new.
const maxAbsenceAge = 2500 * time.Millisecond

// AbsenceIsCertain reports whether a route or a key that is not in the configuration certainly does
// not exist. If it may exist, the request must not be refused permanently, since its client would
// not retry.
func (p Policy) AbsenceIsCertain(f Freshness) bool {
	maxAge := maxAbsenceAge
	if p.PropagationBound > 0 {
		maxAge = min(maxAge, maxConfirmationAge(p.PropagationBound))
	}
	return !f.NewerExists && f.Age <= maxAge
}

// NoRoute returns the refusal of a request for which the configuration has no route.
func NoRoute(c *serving.Config, r *serving.Request, f Freshness, p Policy) *verdict.Failure {
	if !p.AbsenceIsCertain(f) {
		return verdict.Refuse(verdict.ReasonPlatform, "no route of configuration %d for %s%s, and that may be out of date: the last word is %s old",
			c.Version, r.Host, r.Path(), f.Age.Round(time.Millisecond)).WithRetryAfter(outdatedRetryAfter)
	}
	return verdict.Refuse(verdict.ReasonNoRoute, "no route of configuration %d for %s%s", c.Version, r.Host, r.Path())
}

// Authorize returns the workspace of a request for a route, nil if the request needs no key, or the
// reason why it may not run.
func Authorize(c *serving.Config, route *serving.Route, credential serving.Credential, f Freshness, p Policy) (*serving.Workspace, *verdict.Failure) {
	if !c.KeysRequired() || route.Public {
		return nil, nil
	}
	if !p.KeysTrusted(f.Age) {
		return nil, verdict.Refuse(verdict.ReasonPlatform, "it is not known whether keys were taken away, the last word is %s old", f.Age.Round(time.Millisecond)).WithRetryAfter(f.retryAfter())
	}
	workspace, detail := findWorkspace(c, credential)
	switch {
	case workspace != nil:
		return workspace, nil
	case !p.AbsenceIsCertain(f):
		return nil, verdict.Refuse(verdict.ReasonPlatform, "%s as far as is known, and that may be out of date", detail).WithRetryAfter(outdatedRetryAfter)
	}
	return nil, verdict.Refuse(verdict.ReasonUnauthorized, "%s", detail)
}

// findWorkspace returns the workspace that has a key, or a description of what is wrong with the
// key.
func findWorkspace(c *serving.Config, credential serving.Credential) (*serving.Workspace, string) {
	switch credential.Form {
	case serving.KeyMissing:
		return nil, "the request needs a key"
	case serving.KeyRepeated:
		return nil, "the request has more than one key"
	}
	if w := c.WorkspaceOf(credential.Digest); w != nil {
		return w, ""
	}
	return nil, "no workspace has the key"
}

// retryAfter returns the Retry-After of a request refused because the knowledge is too old.
func (f Freshness) retryAfter() time.Duration {
	if f.HolderReachable {
		return outageRetryAfter
	}
	return isolatedRetryAfter
}
