package entry

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/directory"
)

// TestFullRequestBackoff checks that an instance whose servers differ from the holder's requests all of them, with
// growing intervals while that does not resolve the difference, and immediately on a new difference.
func TestFullRequestBackoff(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.budget = forward.NewBudget(forward.BudgetParams{})
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	applyDigest := func(digest uint64) {
		f.applyUpdate(lease.Record{Holder: "h"},
			&ExchangeReply{Held: true, News: holder.Update{Fence: 1, Servers: directory.Delta{Digest: digest}}}, time.Now(), time.Now())
	}
	requestsAll := func() bool {
		_, args := f.buildReport()
		return args.Revision == directory.AllServers
	}
	same := f.dir.Digest()
	applyDigest(same + 1)
	if !requestsAll() || requestsAll() {
		t.Error("want one request for all servers immediately, and none right after it")
	}
	var waits []time.Duration
	for range 8 {
		waits = append(waits, fullRequestWait(f.fullRequests))
		f.lastFullRequest = time.Now().Add(-fullRequestWait(f.fullRequests))
		applyDigest(same + 1)
		if !requestsAll() {
			t.Fatalf("no request for all servers after %s", waits[len(waits)-1])
		}
	}
	for i, w := range waits {
		if want := min(maxFullRequestInterval, fullRequestInterval<<i); w != want {
			t.Errorf("request %d after %s, want %s", i+2, w, want)
		}
	}
	applyDigest(same)
	applyDigest(same + 1)
	if f.lastFullRequest = time.Now().Add(-fullRequestInterval); !requestsAll() {
		t.Error("a new difference waits for the interval of the previous one")
	}
}

// TestTimeBetweenReportsIsNoMiss checks that instances send updates to each other directly only after reports
// without an answer. In a large fleet reports are one second apart, and the holder sends nothing in between.
func TestTimeBetweenReportsIsNoMiss(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	f.lastAnswer = time.Now().Add(-maxExchangeInterval)
	if misses, _ := f.reportProgress(); misses >= broadcastAfter {
		t.Errorf("%d reports count as unanswered", misses)
	}
	for range broadcastAfter {
		f.recordUnanswered(lease.Record{Holder: "h"}, nil)
	}
	if misses, _ := f.reportProgress(); misses < broadcastAfter {
		t.Errorf("%d reports count as unanswered, want %d", misses, broadcastAfter)
	}
}
