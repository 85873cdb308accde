package entry

import "testing"

// TestLookIsAfterTheAnswer: who asks after an answer broke off waits for a look that comes after it,
// not for one that was before. Guards against a request that is sent on before it is known that its
// server ended, where another answer had broken off there a moment earlier.
func TestLookIsAfterTheAnswer(t *testing.T) {
	c := newCrashCheck()
	first := c.looked
	c.noteLook()
	c.noteLook()
	if !isClosed(first) {
		t.Error("the first look was not told")
	}
	c.expectLook()
	second := c.looked
	c.expectLook()
	if isClosed(second) || c.looked != second {
		t.Error("a look before the answer counts for it, or two answers wait for two looks")
	}
	c.noteLook()
	if !isClosed(second) {
		t.Error("the look after the answer was not told")
	}
}
