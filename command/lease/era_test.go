package lease

import (
	"testing"
	"time"

	"github.com/martenport/martenport/store"
)

// TestLostLeaseNotAdoptedFromBackup: the lease is lost when the store is restored from a backup. The backup may
// contain the instance's own record; reading it must not give the lease back.
func TestLostLeaseNotAdoptedFromBackup(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(testParams, "a")
	record := a.Candidate(NeverHeld(0), 0, 0, "")
	a.Acquired(NeverHeld(0), 0, record, store.RevisionOf(0, 5), now, now)
	if a.ObserveEra(0) || !a.ObserveEra(1) || a.Held() {
		t.Error("want the lease lost when a new era begins, and only then")
	}
	if a.Adopt(record, store.RevisionOf(1, 5)) {
		t.Error("adopted a record restored from a backup")
	}
	if !record.Vacant(1) || record.Vacant(0) {
		t.Error("want the record vacant in the new era only")
	}
}

// TestFencingTokensUniqueAcrossEras: the record in a restored backup has an old fencing token or none. The tokens
// issued after the restore must still be higher than all tokens of earlier eras.
func TestFencingTokensUniqueAcrossEras(t *testing.T) {
	before := New(testParams, "b").Candidate(Record{Fence: FenceBase(2) + 1000, Era: 2}, store.RevisionOf(2, 1000), 2, "")
	for _, copied := range []storedRecord{
		{},
		{Record{Fence: 1}, store.RevisionOf(3, 1)},
		{Record{Fence: FenceBase(2) + 7, Era: 2}, store.RevisionOf(3, 7)},
	} {
		if next := New(testParams, "c").Candidate(copied.record, copied.revision, 3, ""); next.Fence <= before.Fence {
			t.Errorf("token %d after %d", next.Fence, before.Fence)
		}
	}
}

// TestTokenNotReissuedAfterLateRenewal: a renewal from before a restore replaces the record of the new era's holder.
func TestTokenNotReissuedAfterLateRenewal(t *testing.T) {
	old := Record{Holder: "a", Fence: FenceBase(0) + 1, Renewals: 1}
	current := New(testParams, "b").Candidate(old, store.RevisionOf(1, 8), 1, "")
	old.Renewals++
	next := New(testParams, "c").Candidate(old, store.RevisionOf(1, 16), 1, "")
	if next.Fence <= current.Fence {
		t.Errorf("token %d of c after %d of b", next.Fence, current.Fence)
	}
}
