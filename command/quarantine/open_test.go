package quarantine

import "testing"

// TestPartBesideQuarantinedRequest guards against quarantining a part because of crashes that a quarantined request explains, and
// of an isolated run beside a request that is not known yet (soak seed 117).
func TestPartBesideQuarantinedRequest(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("bad"), n, n == QuarantineAfter-1)
	}
	crashUnder(l, identity("sound-0", "shared:1"), 0, false)
	crashUnder(l, identity("sound-1", "shared:1"), 1, false)
	crashUnder(l, identity("sound-2", "shared:1"), 5, true)
	checkAssessed(t, l, "two of three crashes explained", identity("sound-3", "shared:1"), "", Suspect)
}
