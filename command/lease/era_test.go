package lease

import (
	"testing"
	"time"

	"github.com/martenport/martenport/store"
)

// TestLostLeaseAdoptedFromCopy: a record of its own that came back with a copy gives a lost lease back to nobody.
func TestLostLeaseAdoptedFromCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	record := a.Candidate(None(0), 0, "")
	a.Won(None(0), 0, record, store.RevisionOf(0, 5), now, now)
	if a.EraBegan(0) || !a.EraBegan(1) || a.Held() {
		t.Error("want the lease lost by a new era, and by that alone")
	}
	if a.Adopt(record, store.RevisionOf(1, 5)) {
		t.Error("adopted")
	}
	if !record.Vacant(1) || record.Vacant(0) {
		t.Error("want the record vacant in the new era, and in that alone")
	}
}

// TestTokenGivenOutTwice: no token of an era is one of an era before, whatever record the copy has.
func TestTokenGivenOutTwice(t *testing.T) {
	before := New(testParams, "b").Candidate(Record{Fence: FirstFence(2) + 1000, Era: 2}, 2, "")
	for _, copied := range []Record{{}, {Fence: 1}, {Fence: FirstFence(2) + 7, Era: 2}} {
		if next := New(testParams, "c").Candidate(copied, 3, ""); next.Fence <= before.Fence {
			t.Errorf("token %d after %d", next.Fence, before.Fence)
		}
	}
}
