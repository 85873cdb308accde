package entry

import "testing"

// TestProbeFollowsCutOff checks that a caller that requests a probe after an answer was cut off waits for a probe
// that starts after that. Guards against a retry before it is known that the server crashed, if another answer had
// been cut off there a moment earlier.
func TestProbeFollowsCutOff(t *testing.T) {
	c := newCrashCheck()
	first := c.probed
	c.markProbed()
	c.markProbed()
	if !isClosed(first) {
		t.Error("the first probe was not reported")
	}
	c.requestProbe()
	second := c.probed
	c.requestProbe()
	if isClosed(second) || c.probed != second {
		t.Error("an earlier probe counts for the cut-off, or two cut-offs wait for two probes")
	}
	c.markProbed()
	if !isClosed(second) {
		t.Error("the probe after the cut-off was not reported")
	}
}
