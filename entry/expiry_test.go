package entry

import (
	"context"
	"testing"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/platform"
)

// TestReplicaLimitAfterExpiry checks that an instance that starts while the entry of an engine is missing, and
// becomes the holder, loads no replica beyond the operators' limit.
//
// Entries of engines expire during an outage of the store and are written again within about two seconds of its
// end. Instances that were running before wait for them. An instance that started at that time had nothing to wait
// for: the only replica of a model was on an engine that it did not know, so it loaded another one, and both served
// once the entry was written again, as the orders that the engines had accepted showed.
func TestReplicaLimitAfterExpiry(t *testing.T) {
	f := newFleetWith(t, 1, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	f.declare(f.instances[0], limitedDeclaration)
	initialReplicas := map[string]int{"e1": 1, "e2": 1}
	f.await("surplus replica unloaded", func() bool {
		now, _ := f.replicas("m1", initialReplicas)
		return now == 1
	})
	f.instances[0].stop()
	<-f.instances[0].done
	f.stopAnnouncing["e1"]()
	f.expireEntry("e1")
	r := f.addInstance(1)
	f.await("the other engine known", func() bool { _, known := r.dir.Server("e2"); return known })
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		time.Sleep(time.Second) // the platform allows about 2 s
		ctx, stopAnnouncing := context.WithCancel(context.Background())
		t.Cleanup(stopAnnouncing)
		go f.servers["e1"].Announce(ctx, f.store, testHeartbeat)
	}()
	if a := f.requestUntilServed(r, "stream", "m1"); a.body != wholeStream("m1") {
		t.Errorf("%+v", a)
	}
	<-restored
	f.await("both engines known", func() bool { _, known := r.dir.Server("e1"); return known })
	if now, _ := f.replicas("m1", initialReplicas); now != 1 {
		t.Errorf("%d replicas of m1, one is allowed", now)
	}
	f.checkServerInvariants()
}

// TestUnreadStoreIsStale checks that an instance that becomes the holder before it has read servers and
// configuration from the store reports an age at which other instances do not rely on its updates.
func TestUnreadStoreIsStale(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newTestWatcher(nil, directory.New(), discardLog())
	if age := w.storeAge(now); age < testMaxUpdateAge {
		t.Errorf("age without any read is %v, want at least %v", age, testMaxUpdateAge)
	}
	w.syncedAt[platform.PrefixServers] = now
	if age := w.storeAge(now); age < testMaxUpdateAge {
		t.Errorf("age without a read configuration is %v", age)
	}
	w.syncedAt[platform.KeyConfig] = now.Add(-time.Second)
	if age := w.storeAge(now); age != time.Second {
		t.Errorf("age %v, want that of the older of both", age)
	}
}
