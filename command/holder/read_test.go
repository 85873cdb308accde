package holder

import (
	"fmt"
	"testing"
	"time"
)

// TestReadsAreSpread: a new holder reads engines one after the other before it may order
// them, and none while the holder before may still order.
func TestReadsAreSpread(t *testing.T) {
	const settle = 3200 * time.Millisecond
	h := &Holder{params: DefaultParams("a", "10.0.0.1:1", settle-settleSlack)}
	const engines, slots = 124, 8
	var read [slots]int
	for i := range engines {
		ahead := h.readBefore(fmt.Sprintf("engine-%d", i))
		if ahead < readAhead || ahead > settle {
			t.Fatalf("read %s before the first order, want %s at least and %s at most", ahead, readAhead, settle)
		}
		read[int(float64(ahead-readAhead)/(readSpread*float64(settle))*slots)%slots]++
	}
	for i, n := range read {
		if n > engines/3 {
			t.Errorf("%d of %d engines are read in part %d of %d of the time", n, engines, i, slots)
		}
	}
}
