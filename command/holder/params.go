package holder

import (
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
)

// Params configure a holder.
type Params struct {
	// Name is the machine's name and Address the address at which peers reach the instance.
	Name, Address string
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
	Lease     lease.Params
	// Tick is the interval of the periodic work.
	Tick time.Duration
	// ReportLag is the maximum age of the data in an engine's report.
	ReportLag time.Duration
	// OrderRetryPause is the minimum pause before an order is repeated that was refused because another one was in
	// progress.
	OrderRetryPause time.Duration
	// OrderRetryTimeout bounds the total time of these retries.
	OrderRetryTimeout time.Duration
	Fleet             replicas.Params
	// Quota configures the lending of the limits of workspaces, and ServerQuota that of servers.
	Quota, ServerQuota quota.Params
}

// Durations of a holder that do not depend on the deployment.
const (
	// validity lets orders continue through short outages of the store. A successor has to wait for it.
	validity = 2500 * time.Millisecond
	// lendingValidity is longer than validity. A holder that cannot reach the store gives up the lease after about
	// 2.4 s, and after any loss of a holder the successor is rarely there sooner. With validity instead, nothing was
	// lent for 1.5 s of that time.
	lendingValidity = validity + 1200*time.Millisecond
	// transit bounds the call of one order. An order takes a few milliseconds.
	transit = 500 * time.Millisecond
	// orderRetryTimeout is how long an order is repeated while another one is in progress. An unload waits for
	// running requests, some of which run for as long as clients allow. Treating the engine as failed would stop its
	// other models.
	orderRetryTimeout = 15 * time.Second
	// settleSlack is added to the time between two holders that the deployment requires.
	settleSlack = 200 * time.Millisecond
)

// DefaultParams returns the parameters for an instance. settle is the minimum time between the orders of two holders
// in this deployment.
func DefaultParams(name, address string, settle time.Duration) Params {
	return Params{
		Name: name, Address: address,
		Lease: lease.Params{Validity: validity, Transit: transit, Settle: settle + settleSlack, LendingValidity: lendingValidity},
		Tick:  200 * time.Millisecond, ReportLag: 350 * time.Millisecond, OrderRetryPause: 20 * time.Millisecond, OrderRetryTimeout: orderRetryTimeout,
		Fleet: replicas.DefaultParams(),
	}
}
