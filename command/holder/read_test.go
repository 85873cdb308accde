package holder

import (
	"fmt"
	"testing"
	"time"
)

// TestEngineReadsAreSpread: a new holder spreads the reads of engines over the time before it may order them, and
// reads none while the earlier holder may still send orders.
func TestEngineReadsAreSpread(t *testing.T) {
	const settle = 3200 * time.Millisecond
	h := &Holder{params: DefaultParams("a", "10.0.0.1:1", settle-settleSlack)}
	const engines, slots = 124, 8
	var read [slots]int
	for i := range engines {
		ahead := h.readLead(fmt.Sprintf("engine-%d", i))
		if ahead < minReadLead || ahead > settle {
			t.Fatalf("read %s before the first order, want %s at least and %s at most", ahead, minReadLead, settle)
		}
		read[int(float64(ahead-minReadLead)/(readSpread*float64(settle))*slots)%slots]++
	}
	for i, n := range read {
		if n > engines/3 {
			t.Errorf("%d of %d engines are read in time slot %d of %d", n, engines, i, slots)
		}
	}
}
