package holder

import (
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/command/replicas"
)

// Params are the times of a holder's work.
type Params struct {
	// Name is the machine's name and Address where peers reach the instance.
	Name, Address string
	// Bootstrap: the whole system starts for the first time.
	Bootstrap bool
	Lease     lease.Params
	// Tick is the interval of the standing work.
	Tick time.Duration
	// ReportLag is how old an engine's report may be.
	ReportLag time.Duration
	// OrderPause is the pause before an order that met another one under way
	// is sent again.
	OrderPause time.Duration
	// OrderPatience bounds that.
	OrderPatience time.Duration
	Fleet         replicas.Params
	// Quota says how limits of workspaces are lent, and ServerQuota those of servers.
	Quota, ServerQuota quota.Params
}

// Times of a holder that do not depend on the deployment.
const (
	// validity permits orders through short outages of the store, and is what
	// a take-over has to wait for.
	validity = 2500 * time.Millisecond
	// lending is longer: a holder that does not reach the store gives the lease up some 2.4 s
	// after, and its successor is rarely there sooner after any loss. With validity instead
	// nothing was lent for 1.5 s of that.
	lending = validity + 1200*time.Millisecond
	// transit bounds one order's call; an order takes a few milliseconds.
	transit = 500 * time.Millisecond
	// orderPatience is how long an order is sent again while the one before it is
	// under way: an unload waits for requests that run, some of them for as long as
	// clients allow. To take the engine for failed would stop its other models.
	orderPatience = 15 * time.Second
	// settleSlack is added to the deployment's time between two holders.
	settleSlack = 200 * time.Millisecond
)

// DefaultParams returns the parameters for an instance, where settle is the
// deployment's least time between orders of two holders.
func DefaultParams(name, address string, settle time.Duration) Params {
	return Params{
		Name: name, Address: address,
		Lease: lease.Params{Validity: validity, Transit: transit, Settle: settle + settleSlack, LendingValidity: lending},
		Tick:  200 * time.Millisecond, ReportLag: 350 * time.Millisecond, OrderPause: 20 * time.Millisecond, OrderPatience: orderPatience,
		Fleet: replicas.DefaultParams(),
	}
}
