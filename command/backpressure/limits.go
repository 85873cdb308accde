package backpressure

import (
	"time"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/serving"
)

// The limit of a server is lent to instances like the limit of a workspace (package quota). In a window,
// and over all instances, the deployment allows 1.5 times the advertised rate plus 5 requests. A part of
// that is lent, and the rest is left for instances without a holder (HolderlessLimiter): while the holder
// is lost, instances may also use what they have saved up from its shares.
const (
	window  = 4 * time.Second
	overage = 0.25
	slack   = 1
	// shareLifetime is the lifetime of a share without confirmation by the holder; instances report
	// several times within it. What they may take without a holder begins when the last share has
	// expired.
	shareLifetime = 2 * time.Second
)

// minRate is the rate used for limits that are lower, in particular for 0: one request in five seconds,
// which detects that the limit was withdrawn. The deployment allows that much for any limit.
const minRate = 0.2

const (
	// spareAsksPerGrant is the number of spare requests, over all instances, that ask for each one that
	// a server accepts.
	spareAsksPerGrant = 2
	// maxSpareDelay bounds the time for which an instance sends no spare request to a rate-limited
	// server.
	maxSpareDelay = 30 * time.Second
)

// SpareRetryDelay returns the time after which an instance asks again for a spare request that was refused.
// minDelay is the time from which the holder expects to have something to grant. All instances ask for
// the same amount: if each asked at that time, a holder with 195 instances would be asked 130 times for
// each request that a server accepts.
func SpareRetryDelay(rate float64, instances int, minDelay time.Duration) time.Duration {
	interval := time.Duration(float64(instances) / (spareAsksPerGrant * LentLimit(rate).Rate) * float64(time.Second))
	return max(minDelay, min(maxSpareDelay, interval))
}

// QuotaParams returns the parameters by which limits of servers are lent.
func QuotaParams() quota.Params {
	return quota.Params{Window: window, Overage: overage, Slack: slack, Lifetime: shareLifetime}
}

// LentLimit returns the limit that is lent for a server that accepts the given number of requests per
// second.
func LentLimit(rate float64) serving.Limit { return serving.Limit{Rate: max(minRate, rate)} }
