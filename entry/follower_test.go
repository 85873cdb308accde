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

// TestLastingDifferenceIsAskedForLessOften: an instance that knows other servers than
// the holder asks for all of them, less and less often while that does not help, and
// at once when they differ anew.
func TestLastingDifferenceIsAskedForLessOften(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.budget = forward.NewBudget(forward.BudgetParams{})
	f.watcher = newTestWatcher(nil, f.dir, discardLog())
	answered := func(digest uint64) {
		f.applyUpdate(lease.Record{Holder: "h"}, &ExchangeReply{Held: true, News: holder.Update{Fence: 1, Servers: directory.Delta{Digest: digest}}}, time.Now(), time.Now())
	}
	asksForAll := func() bool {
		_, args := f.buildReport()
		return args.Revision == directory.AllServers
	}
	same := f.dir.Digest()
	answered(same + 1)
	if !asksForAll() || asksForAll() {
		t.Error("want one question for all at once, and none directly after it")
	}
	var waits []time.Duration
	for range 8 {
		waits = append(waits, fullRequestWait(f.fullRequests))
		f.lastFullRequest = time.Now().Add(-fullRequestWait(f.fullRequests))
		answered(same + 1)
		if !asksForAll() {
			t.Fatalf("no question after %s", waits[len(waits)-1])
		}
	}
	for i, w := range waits {
		if want := min(maxFullRequestInterval, fullRequestInterval<<i); w != want {
			t.Errorf("question %d after %s, want %s", i+2, w, want)
		}
	}
	answered(same)
	answered(same + 1)
	if f.lastFullRequest = time.Now().Add(-fullRequestInterval); !asksForAll() {
		t.Error("a new difference waits for the old one's pause")
	}
}

// TestSilenceBetweenReportsIsNoLoss: instances tell each other directly only after reports
// without an answer. In a large fleet reports are a second apart, and the holder is silent
// between them.
func TestSilenceBetweenReportsIsNoLoss(t *testing.T) {
	f := newFollower("a", nil, directory.New(), nil, &members{}, logrus.New())
	f.lastAnswer = time.Now().Add(-maxExchangeInterval)
	if misses, _ := f.reportProgress(); misses >= broadcastAfter {
		t.Errorf("%d reports count as not answered", misses)
	}
	for range broadcastAfter {
		f.recordUnanswered(lease.Record{Holder: "h"}, nil)
	}
	if misses, _ := f.reportProgress(); misses < broadcastAfter {
		t.Errorf("%d reports count as not answered, want %d", misses, broadcastAfter)
	}
}
