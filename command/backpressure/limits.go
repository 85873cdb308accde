package backpressure

import (
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/serving"
)

// What a server gets that limits what it takes is lent to instances like the limit of a
// workspace (package quota). The deployment allows 1.5 times as much as it names, and 5 requests,
// in a window, over all instances. A part of that is lent, and the rest left for instances that
// have no holder (Alone): while one is lost, they may let run what it has let be saved up, too.
const (
	window  = 4 * time.Second
	overage = 0.25
	slack   = 1
	// lifetime of a share without another word of the holder: instances report several times
	// in it. What they may take without a holder begins when the last share is over.
	lifetime = 2 * time.Second
)

// leastRate is the rate that is used of a limit that is lower, and 0 above all: one request in
// five seconds, by which it is learned that the limit is over. That is within what the
// deployment allows of any limit.
const leastRate = 0.2

const (
	// spareAsks is how many spare requests of all instances ask for each one that a server takes.
	spareAsks = 2
	// longestSpare bounds how long an instance sends no spare request to a limited server.
	longestSpare = 30 * time.Second
)

// SpareAgain returns after which time an instance asks again for a spare request that was refused,
// where it was told that there may be something after a time. All instances ask for the same: if
// each did at that time, a holder of 195 instances would be asked 130 times for each request that a
// server takes.
func SpareAgain(rate float64, instances int, told time.Duration) time.Duration {
	turn := time.Duration(float64(instances) / (spareAsks * LimitAt(rate).Rate) * float64(time.Second))
	return max(told, min(longestSpare, turn))
}

// QuotaParams says how limits of servers are lent.
func QuotaParams() quota.Params {
	return quota.Params{Window: window, Overage: overage, Slack: slack, Lifetime: lifetime}
}

// LimitAt returns the limit that is lent of a server that takes so many requests a second.
func LimitAt(rate float64) serving.Limit { return serving.Limit{Rate: max(leastRate, rate)} }
