package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConnAdmissionFollowsDelay guards against connections that are kept although they cannot be read in time, and
// against an instance that takes none: beyond what it can read it closes most, and all are kept again once it keeps up.
func TestConnAdmissionFollowsDelay(t *testing.T) {
	const (
		perSample = 50 // new connections between two samples
		capacity  = 10 // of which so many are read
		readTime  = 50 * time.Millisecond
	)
	a := NewConnAdmission(DefaultConnAdmissionParams(0))
	backlog, kept, late := 0, 0, 0
	for sample := range 200 {
		for i := range perSample {
			if a.Admit(0, float64(i)/perSample) {
				backlog++
				kept++
			}
		}
		backlog = max(0, backlog-capacity)
		delay := time.Duration(backlog/capacity) * readTime
		if sample > 20 && delay > time.Second {
			late++
		}
		a.Observe(min(delay, maxLagSample))
	}
	if late > 0 {
		t.Errorf("requests read over a second late at %d of 180 samples", late)
	}
	if read := 200 * capacity; kept < read {
		t.Errorf("%d connections kept, although %d could be read", kept, read)
	}
	for range 40 {
		a.Observe(0)
	}
	if !a.Admit(0, 0) {
		t.Error("not all are kept once the instance keeps up")
	}
}

// TestConnAdmissionBounds: some connections are kept whatever the delay, all without delay, and none beyond the limit.
func TestConnAdmissionBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultConnAdmissionParams(rapid.IntRange(0, 100).Draw(t, "limit"))
		a := NewConnAdmission(p)
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			a.Observe(time.Duration(rapid.Int64Range(0, int64(maxLagSample)).Draw(t, "delay")))
			open, random := rapid.IntRange(0, 200).Draw(t, "open"), rapid.Float64Range(0, 1).Draw(t, "random")
			admitted := a.Admit(open, random)
			switch {
			case p.MaxOpen > 0 && open >= p.MaxOpen && admitted:
				t.Fatalf("%d connections beside %d", p.MaxOpen, open)
			case (p.MaxOpen == 0 || open < p.MaxOpen) && random >= 1-p.MinShare && !admitted:
				t.Fatalf("closed at %.2f, share %.2f is always kept", random, p.MinShare)
			}
		}
		a.Reset()
		if p.MaxOpen != 0 && !a.Admit(0, 0) {
			t.Fatal("closed after a reset")
		}
	})
}
