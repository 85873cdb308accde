// Package quota keeps what each workspace asks for within its limit, summed over all
// instances. It is pure: times are passed in, and nothing is sent.
//
// The holder of the lease lends each instance a share of a workspace's limit, by what is asked
// for there: so much a second, and so much saved up (Lender). An instance lets requests run by
// its shares alone (Shares), and asks the holder for single requests that go beyond. So most
// requests need no question, and instances go on for a while when the holder is lost.
//
// The bound. Let a limit be R a second and B saved up. All shares together and what the holder
// keeps for questions gain at most R a second and have saved up at most
//
//	K = B + max(0, Z - R x T)
//
// where Z is what the deployment allows beyond R and B in a window, and T the longest time for
// which something may be on its way between the holder and an instance, or be given back. What
// is let run in a window W was saved up at its beginning, or gained in it, or was on its way
// or had been taken by requests that did not run: at most K + R x W + R x T, which is within
// the deployment's bound (R x W + B) x (1 + overage) + slack if Z is R x T at least. A request is let run between the
// arrives within the window is let run within it.
//
// The sum holds whatever is lost. A share counts as lent at the holder from when the reply
// that has it is made until the instance reports another one, or for its lifetime after it
// was last told; at the instance it ends its lifetime after the report to which it was the
// answer was sent. A message that is lost leaves the larger of two shares counted. A share
// only moves saved-up requests when these are taken from the holder's own: a share that grows
// begins with what the smaller one had.
//
// A holder lends, and answers questions, only while its lease is good. Its successor lends
// nothing before the lease of the one before is over, and takes over the shares that
// instances report. What is ever lent of a limit, less those, counts as lent to instances that
// have not reported, until all have or the shares of the one before are over. No two clocks are
// compared.
package quota

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Params are the deployment's.
type Params struct {
	// Window is the time over which a workspace's requests are counted, Overage the part and
	// Slack the number by which they may go beyond its limit.
	Window         time.Duration
	Overage, Slack float64
	// Lifetime is how long a share lasts without another word of the holder. Where keys are
	// not relied on for long without such a word, it is short; where an instance that is cut
	// off is to go on, it is long.
	Lifetime time.Duration
}

const (
	// transit bounds how long what was let run may be on its way between the holder's account
	// and an instance's: that of one call.
	transit = 500 * time.Millisecond
	// giveBackWithin is the time within which what a request took is given back if it did not
	// run. Most refusals come within milliseconds.
	giveBackWithin = 200 * time.Millisecond
)

// saved returns K: how much may be saved up of a limit, over all instances.
func (p Params) saved(l serving.Limit) float64 {
	window := p.Window.Seconds()
	beyond := p.Overage*(l.Rate*window+l.Burst) + p.Slack
	return l.Burst + max(0, beyond-l.Rate*(transit+giveBackWithin).Seconds())
}

// Share is an instance's part of a limit: what it gains a second, and how much it may save up.
type Share struct{ Rate, Saved float64 }

// larger returns a share that covers both.
func (s Share) larger(other Share) Share {
	return Share{max(s.Rate, other.Rate), max(s.Saved, other.Saved)}
}

func (s Share) plus(other Share) Share { return Share{s.Rate + other.Rate, s.Saved + other.Saved} }

// minus does not go below nothing.
func (s Share) minus(other Share) Share {
	return Share{max(0, s.Rate-other.Rate), max(0, s.Saved-other.Saved)}
}

// within returns the part of the share that is not above another.
func (s Share) within(other Share) Share {
	return Share{min(s.Rate, other.Rate), min(s.Saved, other.Saved)}
}

// Use is what an instance reports of one workspace.
type Use struct {
	Workspace string
	// Asked is what was asked for since the report before, refused requests included, and
	// Requests how many asked for it.
	Asked    float64
	Requests int
	// Refused is what of that was refused for the limit.
	Refused float64
	// Heaviest is the largest amount that was asked for at once.
	Heaviest float64
	// Held is the share in force there, and Level what of it is saved up. Returned is what was
	// saved up beyond what the instance is to keep: it has given that up.
	Held            Share
	Level, Returned float64
}

// Loan is what the holder lends an instance of one workspace's limit.
type Loan struct {
	Workspace string
	Share     Share
	// Keep is what the instance is to keep of what it has saved up when it reports: the rest
	// is of more use to others. Grant is added to what it has.
	Keep, Grant float64
}

// Answer is the holder's to a question for one request.
type Answer struct {
	// Granted: the request may run.
	Granted bool
	// Known: the holder can say; it cannot if it has no such workspace, or may not lend.
	Known bool
	// After is when the request would be granted if nothing else were asked for; 0 if never.
	After time.Duration
}
