package entry

import "testing"

// TestLookIsAfterTheAnswer: who asks after an answer broke off waits for a look that comes after it,
// not for one that was before. Guards against a request that is sent on before it is known that its
// server ended, where another answer had broken off there a moment earlier.
func TestLookIsAfterTheAnswer(t *testing.T) {
	c := newCrashCheck()
	first := c.probed
	c.markProbed()
	c.markProbed()
	if !isClosed(first) {
		t.Error("the first look was not told")
	}
	c.requestProbe()
	second := c.probed
	c.requestProbe()
	if isClosed(second) || c.probed != second {
		t.Error("a look before the answer counts for it, or two answers wait for two looks")
	}
	c.markProbed()
	if !isClosed(second) {
		t.Error("the look after the answer was not told")
	}
}
