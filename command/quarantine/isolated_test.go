package quarantine

import "testing"

// TestSharedPartRunsIsolatedWithUnknownPart guards against quarantining a part that many requests share because of an
// isolated run of a request with a part that crashes servers and is no suspect yet (soak seed 122).
func TestSharedPartRunsIsolatedWithUnknownPart(t *testing.T) {
	l := NewLedger()
	crashUnder(l, identity("sound-0", "shared:1"), 0, false)
	crashUnder(l, identity("sound-1", "shared:1"), 1, false)
	crashUnder(l, identity("bad", "shared:1", "bad:1"), 2, true)
	checkAssessed(t, l, "without the unknown part", identity("sound-2", "shared:1"), "", Suspect)
}

// TestSharedRequestBesideUnknownCause guards against quarantining a request that many clients send because its isolated run
// ended with a server that a part crashed which became a suspect later (soak seed 128).
func TestSharedRequestBesideUnknownCause(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("shared"), n, n == QuarantineAfter-1)
	}
	for n := 2; n < 6; n++ {
		crashUnder(l, identity("bad", "bad:1"), n, false)
	}
	checkAssessed(t, l, "the request", identity("shared"), "", Suspect)
}
