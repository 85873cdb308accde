// Package access decides whose a request is, and whether the instance may let it run by what
// it knows of keys. It is pure: times are passed in.
//
// Keys come and go with configurations. An instance hears of a configuration after a while,
// and of none while it is cut off. What it knows is therefore judged by its age: how long ago
// it was sure that no newer configuration had been accepted. Where revocation fails closed, a
// request that needs a key is refused once that age is more than the bound, so that no key
// works for longer after it was taken away, whatever the instance is cut off from and however
// long its machine stood still. Where it does not, an instance that is cut off goes on with
// the keys that it knows.
package access

import (
	"time"

	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Policy is how long what is known of keys is relied on.
type Policy struct {
	// FailClosed: keys are not relied on after Bound.
	FailClosed bool
	// Bound is how long after it was taken away a key may work.
	Bound time.Duration
	// InForce is how long after it was accepted a configuration may be unknown to an instance, 0
	// if the deployment does not say.
	InForce time.Duration
}

// margin is the part of the bound that is left unused: the store may tell of a change a while
// after it has acknowledged it, and a watch that hears nothing may have been deaf for a part
// of its second.
const margin = 0.14

// Trusted is the age up to which keys are relied on; 0 without bound.
func (p Policy) Trusted() time.Duration {
	if !p.FailClosed {
		return 0
	}
	return time.Duration((1 - margin) * float64(p.Bound))
}

// Trusts reports whether keys are relied on by what is known since an age.
func (p Policy) Trusts(age time.Duration) bool {
	return !p.FailClosed || age <= p.Trusted()
}

// Word is what one instance tells another of how current its configuration is.
type Word struct {
	// Version of the configuration in force there, 0 if there is none.
	Version int64
	// Age is how long before the word was made there was no newer one for certain.
	Age time.Duration
}

// AsOf returns when there was no newer configuration for certain, by the clock of the instance
// that got the word in answer to a question that it had sent at a time: the word was made
// after that.
func (w Word) AsOf(asked time.Time) time.Time { return asked.Add(-w.Age) }

// Knowledge is how current the configuration is known to be when a request is judged.
type Knowledge struct {
	// Age is how long ago it was sure that there was no newer configuration.
	Age time.Duration
	// Newer: there is a newer one, which is not known yet.
	Newer bool
	// Reached: another instance that answers for the store's news is in reach, so that this
	// one is not cut off by itself.
	Reached bool
}

// Times that clients are told.
const (
	// newcomerRetry is when a key or a route that is not known yet should be: the word of a
	// configuration goes round within a second or two.
	newcomerRetry = 500 * time.Millisecond
	// elsewhereRetry: the instance is cut off, and others are not.
	elsewhereRetry = 50 * time.Millisecond
	// outageRetry: the store answers nobody.
	outageRetry = time.Second
)

// unknownTrusted is the age up to which what is not in the configuration does not exist, at the
// most. An instance that hears of the store regularly hears within a second of the watch, one of
// the report and some for the way. With an older word it may be new.
const unknownTrusted = 2500 * time.Millisecond

// Complete reports whether a route or a key that is not in the configuration does not exist. Where
// it may, its request is not refused for good: its client would not come again.
func (p Policy) Complete(k Knowledge) bool {
	trusted := unknownTrusted
	if p.InForce > 0 {
		trusted = min(trusted, time.Duration((1-margin)*float64(p.InForce)))
	}
	return !k.Newer && k.Age <= trusted
}

// NoRoute returns how a request is refused for which the configuration has no route.
func NoRoute(c *serving.Config, r *serving.Request, k Knowledge, p Policy) *verdict.Failure {
	if !p.Complete(k) {
		return verdict.Refuse(verdict.ReasonPlatform, "no route of configuration %d for %s%s, and that may be out of date: the last word is %s old",
			c.Version, r.Host, r.Path(), k.Age.Round(time.Millisecond)).After(newcomerRetry)
	}
	return verdict.Refuse(verdict.ReasonNoRoute, "no route of configuration %d for %s%s", c.Version, r.Host, r.Path())
}

// Decide returns whose a request for a route is, nil if it needs no key, or why it may not run.
func Decide(c *serving.Config, route *serving.Route, credential serving.Credential, k Knowledge, p Policy) (*serving.Workspace, *verdict.Failure) {
	if !c.Guarded() || route.Public {
		return nil, nil
	}
	if !p.Trusts(k.Age) {
		return nil, verdict.Refuse(verdict.ReasonPlatform, "it is not known whether keys were taken away, the last word is %s old", k.Age.Round(time.Millisecond)).After(k.retry())
	}
	workspace, detail := find(c, credential)
	switch {
	case workspace != nil:
		return workspace, nil
	case !p.Complete(k):
		return nil, verdict.Refuse(verdict.ReasonPlatform, "%s as far as is known, and that may be out of date", detail).After(newcomerRetry)
	}
	return nil, verdict.Refuse(verdict.ReasonUnauthorized, "%s", detail)
}

// find returns the workspace that has a key, or what is wrong with the key.
func find(c *serving.Config, credential serving.Credential) (*serving.Workspace, string) {
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

func (k Knowledge) retry() time.Duration {
	if k.Reached {
		return outageRetry
	}
	return elsewhereRetry
}
