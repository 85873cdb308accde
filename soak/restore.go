package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/store"
)

// Times of a restore of the store.
const (
	// The backup is at least minCopyAge and less than minCopyAge+copyAgeSpread old when the store is restored from
	// it.
	minCopyAge, copyAgeSpread = 1500 * time.Millisecond, 3 * time.Second
	// restoreDowntime is how long the store is unavailable before it is restored.
	restoreDowntime = 300 * time.Millisecond
	// holderExtraTime is how much longer the fault of the lease holder lasts.
	holderExtraTime = time.Second
)

// Faults of the lease holder during a restore of the store.
const (
	holderUndisturbed = "holder undisturbed"
	holderKilled      = "holder killed"
	holderCutOff      = "holder cut off"
)

// restoreFault restores the store from a backup once or twice, and may disturb the lease holder at the same time.
func (r *run) restoreFault(ctx context.Context) fault {
	random := rand.New(rand.NewPCG(r.params.Seed, 3))
	holderFault := []string{holderUndisturbed, holderKilled, holderCutOff}[random.IntN(3)]
	var ages []time.Duration
	for range 1 + random.IntN(2) {
		ages = append(ages, minCopyAge+time.Duration(random.Int64N(int64(copyAgeSpread))))
	}
	var wg sync.WaitGroup
	begin := func() {
		wg.Go(func() {
			for _, age := range ages {
				r.restoreStore(ctx, age, holderFault)
			}
		})
	}
	return fault{fmt.Sprintf("store comes back from a copy %d times, %s", len(ages), holderFault), begin, wg.Wait}
}

// restoreStore takes a backup of the store, and restores the store from it after the given time.
func (r *run) restoreStore(ctx context.Context, age time.Duration, holderFault string) {
	r.postStoreFault(url.Values{"copy": {"true"}})
	pause.For(ctx, age)
	leader := r.leaseHolder(ctx)
	r.setStoreFault("down=true")
	end := r.disturbHolder(leader, holderFault)
	pause.For(ctx, restoreDowntime)
	r.postStoreFault(url.Values{"restore": {"true"}, "again": {"config/"}}) // servers rewrite their own entries
	r.setStoreFault("down=false")
	pause.For(ctx, holderExtraTime)
	end()
}

// postStoreFault sends a fault request to the store.
func (r *run) postStoreFault(query url.Values) {
	resp, err := http.Post("http://"+r.storeAddress+"/fault?"+query.Encode(), "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// disturbHolder injects a fault into the given instance and returns a function that ends the fault.
func (r *run) disturbHolder(entry int, holderFault string) (end func()) {
	switch {
	case entry < 0 || holderFault == holderUndisturbed:
		return noop
	case holderFault == holderKilled:
		r.entries[entry].stop(syscall.SIGKILL, time.Second)
		return func() { _ = r.entries[entry].start() } // a failed start shows up in the recovery checks
	default:
		r.storeProxies[entry].setMode(blockBoth)
		return func() { r.storeProxies[entry].setMode(passAll) }
	}
}

// leaseHolder returns the index of the instance that holds the lease according to the store, or -1 if there is
// none.
func (r *run) leaseHolder(ctx context.Context) int {
	record, _, err := store.Read[lease.Record](ctx, r.client, holder.KeyLease)
	if err != nil {
		return -1
	}
	return slices.IndexFunc(r.entries, func(p *process) bool { return p.name == record.Holder })
}
