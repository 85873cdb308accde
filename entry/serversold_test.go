package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// confirmServers records the end of a watch of the servers each watchWait/2, for some time.
func confirmServers(w *watcher, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(watchWait / 2) {
		w.recordStoreRead(platform.PrefixServers, clock.Now())
	}
}

// TestFirstWatchAfterPauseNamesProcesses guards against requests that run on an unknown process of a server that started again
// during a pause of the instance: the first watches after it may lack the new entry, and closed connections look open.
func TestFirstWatchAfterPauseNamesProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWatcher(nil, directory.New(), discardLog())
		confirmServers(w, 4*store.MaxWatchDelay)
		if w.serversOld(clock.Now()) {
			t.Error("old without a pause")
		}
		time.Sleep(recentServersAge + 2*store.MaxWatchDelay)
		confirmServers(w, store.MaxWatchDelay)
		if !w.serversOld(clock.Now()) {
			t.Error("not old with watches that ended a moment after a pause")
		}
		confirmServers(w, watchWait)
		if w.serversOld(clock.Now()) {
			t.Error("still old later")
		}
		for range 5 {
			time.Sleep(maxExchangeInterval + holderWatchWait)
			w.recordSynced(platform.PrefixServers, clock.Now().Add(-holderWatchWait))
			if w.serversOld(clock.Now()) {
				t.Error("old at the pace of the updates in a large fleet")
			}
		}
	})
}
