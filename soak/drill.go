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

// Times of a drill.
const (
	// leastCopyAge and moreCopyAge are how old the copy is when the store comes back from it.
	leastCopyAge, moreCopyAge = 1500 * time.Millisecond, 3 * time.Second
	// drillAway is for how long the store is away before.
	drillAway = 300 * time.Millisecond
	// holderAway is for how much longer the holder is disturbed.
	holderAway = time.Second
)

// What may befall the holder of the lease in a drill.
const (
	holderWell   = "holder undisturbed"
	holderKilled = "holder killed"
	holderCutOff = "holder cut off"
)

// drill has the store come back from a copy, once or twice, and the holder of the lease be
// disturbed at the same time, or not.
func (r *run) drill(ctx context.Context) fault {
	random := rand.New(rand.NewPCG(r.params.Seed, 3))
	beside := []string{holderWell, holderKilled, holderCutOff}[random.IntN(3)]
	var ages []time.Duration
	for range 1 + random.IntN(2) {
		ages = append(ages, leastCopyAge+time.Duration(random.Int64N(int64(moreCopyAge))))
	}
	var work sync.WaitGroup
	begin := func() {
		work.Go(func() {
			for _, age := range ages {
				r.comeBack(ctx, age, beside)
			}
		})
	}
	return fault{fmt.Sprintf("store comes back from a copy %d times, %s", len(ages), beside), begin, work.Wait}
}

// comeBack has the store come back from a copy of an age.
func (r *run) comeBack(ctx context.Context, age time.Duration, beside string) {
	r.drillStep(url.Values{"copy": {"true"}})
	pause.For(ctx, age)
	leads := r.holder(ctx)
	r.storeFault("down=true")
	end := r.disturbHolder(leads, beside)
	pause.For(ctx, drillAway)
	r.drillStep(url.Values{"restore": {"true"}, "again": {"config/"}}) // servers write theirs again
	r.storeFault("down=false")
	pause.For(ctx, holderAway)
	end()
}

// drillStep has the store take a step of a drill.
func (r *run) drillStep(query url.Values) {
	resp, err := http.Post("http://"+r.storeAt+"/fault?"+query.Encode(), "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// disturbHolder disturbs an instance as is said, and returns what ends that.
func (r *run) disturbHolder(entry int, beside string) (end func()) {
	switch {
	case entry < 0 || beside == holderWell:
		return nothing
	case beside == holderKilled:
		r.entries[entry].end(syscall.SIGKILL, time.Second)
		return func() { _ = r.entries[entry].start() } // a failed start shows as not coming back
	default:
		r.ways[entry].set(silent)
		return func() { r.ways[entry].set(pass) }
	}
}

// holder returns the number of the instance that holds the lease by the store, -1 if none does.
func (r *run) holder(ctx context.Context) int {
	record, _, err := store.Read[lease.Record](ctx, r.client, holder.KeyLease)
	if err != nil {
		return -1
	}
	return slices.IndexFunc(r.entries, func(p *process) bool { return p.name == record.Holder })
}
