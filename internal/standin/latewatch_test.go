package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/store"
)

// TestLateWatchLosesNoChange checks that a late watch ends without a recent change, and that the watch after it shows it.
func TestLateWatchLosesNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, ctx := NewPlatform(), context.Background()
		p.DelayWatches(LateWatches{Prefix: "servers/", Delay: store.MaxWatchDelay})
		first, err := p.Put(ctx, "servers/a", []byte(`1`), 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(store.MaxWatchDelay)
		began := time.Now()
		if _, err := p.Put(ctx, "servers/a", []byte(`2`), first.Version); err != nil {
			t.Fatal(err)
		}
		watch := func(prefix string, revision store.Revision) store.Snapshot {
			snap, err := p.watch(ctx, watchRequest{prefix: prefix, revision: revision, wait: 400 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			return snap
		}
		if snap := watch("servers/", 0); len(snap.Objects) != 1 || string(snap.Objects[0].Value) != "1" {
			t.Errorf("%v, want the state before the change", snap)
		}
		revision := first.Version
		for range 3 {
			snap := watch("servers/", revision)
			if late := time.Since(began) < store.MaxWatchDelay; late != (len(snap.Objects) == 0) {
				t.Errorf("%v %s after the change", snap, time.Since(began))
			}
			revision = snap.Revision
		}
		if snap := watch("", first.Version); len(snap.Objects) != 1 {
			t.Errorf("%v, want the change in a watch that is not late", snap)
		}
		if snap, err := p.List(ctx, "servers/"); err != nil || string(snap.Objects[0].Value) != "2" {
			t.Errorf("%v, %v, want the current state in a list", snap, err)
		}
	})
}
