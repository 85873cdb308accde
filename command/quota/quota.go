// Package quota limits the rate of requests of each workspace, summed over all instances. It is pure:
// the current time is passed in, and nothing is sent.
//
// The lease holder lends each instance a share of a workspace's limit according to the demand there: a
// rate, and an amount that may be saved up (Lender). Each share is a token bucket with that rate and
// that capacity; its level is what the instance has saved up. An instance admits requests from its
// shares alone (Shares), and queries the holder for single requests that exceed them. So most requests
// need no query, and instances can continue for a while if the holder is lost.
//
// # The bound
//
// Let R be the rate of a limit and B its burst. All shares together with what the holder reserves for
// queries gain at most R per second and have saved up at most
//
//	K = B + max(0, Z - R x T)
//
// where Z is the amount by which the deployment allows R x W + B to be exceeded in a window W, and T is
// the sum of the longest time for which an amount may be in transit between the holder and an instance
// (maxTransit) and the time within which the cost of a request that did not run is refunded
// (refundWindow). What is admitted in a window W was saved up at its start, was gained during it, was
// in transit, or had been taken by requests that did not run: at most K + R x W + R x T. If Z is at
// least R x T, this is within the deployment's bound of (R x W + B) x (1 + overage) + slack. A request
// is admitted between the time at which it is sent and the time at which it reaches a server, so a
// request that is sent and arrives within the window is admitted within it.
//
// # Bookings
//
// A refused request is told when the limit will suffice for it, and that part of the future gains is
// booked for it (Lender.GrantBooked). A booking is no amount: it only keeps the reserve from others. Every
// admission is still taken from the reserve or from a share, so bookings don't enter the sum above, and the
// bound holds whether they are claimed, lapse, or are lost with the holder.
//
// # Lost messages
//
// The sum holds whichever messages are lost. The holder counts a share as lent from the time at which it
// creates the reply that contains the share until the instance reports another one, or until the share's
// lifetime has passed since the holder created the last reply that contains it. At the instance, the
// share ends one lifetime after the instance sent the report to which the reply belongs. If a message is
// lost, the larger of the two shares remains counted. A larger share does not raise the instance's level.
// Apart from the gain over time and from refunds, the level rises only by a grant, which the holder takes
// from its reserve.
//
// # Change of holder
//
// A holder lends and answers queries only while its lease is valid. Its successor lends nothing before
// the previous lease has expired, and takes over the shares that instances report. All that may be lent
// of a limit (Lender.maxLent), less those shares, counts as lent to instances that have not reported,
// until all have reported or the shares of the previous holder have expired. Clocks of different machines
// are never compared.
package quota

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Params are the deployment's parameters.
type Params struct {
	// Window is the time over which a workspace's requests are counted. Overage is the fraction, and
	// Slack the absolute amount, by which they may exceed the limit.
	Window         time.Duration
	Overage, Slack float64
	// Lifetime is how long a share lasts without confirmation by the holder. It is short where keys
	// must not be relied on for long without confirmation, and long where an instance that is cut off
	// is to continue.
	Lifetime time.Duration
}

const (
	// maxTransit bounds the time for which an amount may be in transit between the holder and an
	// instance: the duration of one call. A grant that takes longer is discarded.
	maxTransit = 500 * time.Millisecond
	// refundWindow is the time within which the cost of a request that did not run is refunded.
	// Most refusals arrive within milliseconds.
	refundWindow = 200 * time.Millisecond
)

// capacity returns K: the amount of a limit that may be saved up, over all instances.
func (p Params) capacity(l serving.Limit) float64 {
	window := p.Window.Seconds()
	beyond := p.Overage*(l.Rate*window+l.Burst) + p.Slack
	return l.Burst + max(0, beyond-l.Rate*(maxTransit+refundWindow).Seconds())
}

// Share is an instance's part of a limit: the rate per second, and the amount that may be saved up.
type Share struct{ Rate, Saved float64 }

// covering returns the smallest share that covers both shares.
func (s Share) covering(other Share) Share {
	return Share{max(s.Rate, other.Rate), max(s.Saved, other.Saved)}
}

// plus returns the sum of both shares.
func (s Share) plus(other Share) Share { return Share{s.Rate + other.Rate, s.Saved + other.Saved} }

// minus returns the difference of the shares, at least zero.
func (s Share) minus(other Share) Share {
	return Share{max(0, s.Rate-other.Rate), max(0, s.Saved-other.Saved)}
}

// cappedBy returns the share capped by another one.
func (s Share) cappedBy(other Share) Share {
	return Share{min(s.Rate, other.Rate), min(s.Saved, other.Saved)}
}

// Use is what an instance reports about one workspace.
type Use struct {
	Workspace string
	// Asked is the total cost of the requests since the previous report, including refused ones.
	// Requests is their number.
	Asked    float64
	Requests int
	// Refused is the part of Asked that was refused because of the limit.
	Refused float64
	// Heaviest is the largest cost of a single request.
	Heaviest float64
	// Held is the share in effect, and Level the amount saved up. Returned is the amount that the
	// instance had saved up beyond what it is to keep, and that it has given up with this report.
	Held            Share
	Level, Returned float64
}

// Loan is what the holder lends an instance of one workspace's limit.
type Loan struct {
	Workspace string
	Share     Share
	// Keep is how much of its saved-up amount the instance keeps when it reports; the rest is returned
	// for use by others. Grant is added to the saved-up amount.
	Keep, Grant float64
}

// Answer is the holder's answer to a query for one request.
type Answer struct {
	// Granted is set if the request may run.
	Granted bool
	// Known is set if the holder could decide. It cannot if it does not know the workspace, or may not
	// lend.
	Known bool
	// After is the time after which the limit will suffice for the request and for those that were booked
	// before it; 0 if never.
	After time.Duration
	// Place is the request's place in the queue of its workspace, from 1; 0 if it has none.
	Place int
}
