package intake

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const (
	testShare = 1 << 20
	testMost  = 4 << 20
)

func newTestBudget() *Budget { return NewBudget(testShare, testMost, func(Refused) {}) }

// begin returns a holding, and a function that reports whether it was interrupted.
func begin(b *Budget) (*Holding, func() bool) {
	interrupted := false
	return b.Begin(func() { interrupted = true }), func() bool { return interrupted }
}

// causeOf returns the cause in an error, "" if it is not an *Error.
func causeOf(err error) Cause {
	var refused *Error
	if !errors.As(err, &refused) {
		return ""
	}
	return refused.Cause
}

// TestSlowRequestsYield checks that requests that do not progress yield to one that needs memory, the largest first, and that those
// that do progress or have arrived do not.
func TestSlowRequestsYield(t *testing.T) {
	b := newTestBudget()
	small, smallEnded := begin(b)
	large, largeEnded := begin(b)
	complete, completeEnded := begin(b)
	moving, movingEnded := begin(b)
	for h, n := range map[*Holding]int64{small: 100 << 10, large: 300 << 10, complete: 200 << 10, moving: 100 << 10} {
		if err := h.Charge(n); err != nil {
			t.Fatal(err)
		}
	}
	if err := complete.Complete(); err != nil {
		t.Fatal(err)
	}
	for range slowChecks {
		moving.Progress(slowBytes)
		b.Check()
	}
	next, _ := begin(b)
	if err := next.Charge(200 << 10); err != nil {
		t.Fatal(err)
	}
	if !largeEnded() || smallEnded() || completeEnded() || movingEnded() {
		t.Errorf("ended: large %t, small %t, complete %t, moving %t, want only the large one", largeEnded(), smallEnded(), completeEnded(), movingEnded())
	}
	if cause := causeOf(large.Complete()); cause != CauseMemory {
		t.Errorf("the large one completes: cause %q", cause)
	}
}

// TestSmallRequestsHaveRoom checks that small requests are read beside as many large ones as there may be.
func TestSmallRequestsHaveRoom(t *testing.T) {
	b := newTestBudget()
	refused := 0
	for range 100 {
		h, _ := begin(b)
		if _, err := ReadBody(strings.NewReader(strings.Repeat("x", 300<<10)), 300<<10, 0, h); err != nil {
			refused++
		}
	}
	if refused < 90 {
		t.Errorf("%d of 100 large requests were refused", refused)
	}
	for range 1000 {
		h, _ := begin(b)
		if body, err := ReadBody(strings.NewReader("small"), -1, 0, h); err != nil || string(body) != "small" {
			t.Fatalf("a small request: %q, %v", body, err)
		}
	}
	h, _ := begin(b)
	if _, err := ReadBody(strings.NewReader(strings.Repeat("x", 50<<10)), 50<<10, 0, h); err != nil {
		t.Errorf("a request of 50 KiB: %v", err)
	}
}

// TestLargestRequestFits checks that a single request of the largest size is read whatever the share, with and without a length,
// unless it exceeds what the process can hold.
func TestLargestRequestFits(t *testing.T) {
	for _, length := range []int64{2 << 20, -1} {
		b := newTestBudget()
		if !b.SetLargest(2 << 20) {
			t.Error("no room for the largest request")
		}
		h, _ := begin(b)
		text := strings.Repeat("x", 2<<20)
		body, err := ReadBody(iotest.HalfReader(strings.NewReader(text)), length, 2<<20, h)
		if err != nil || string(body) != text {
			t.Errorf("length %d: %d bytes, %v", length, len(body), err)
		}
	}
	if newTestBudget().SetLargest(testMost) {
		t.Error("there is room for a request that exceeds the memory")
	}
}

// TestTooSlowRequestEnds checks that a request that arrives too slowly for too long is ended, and one that is slow but not too slow is not.
func TestTooSlowRequestEnds(t *testing.T) {
	b := newTestBudget()
	stalled, stalledEnded := begin(b)
	slow, slowEnded := begin(b)
	stalled.Progress(minBytes)
	for range graceChecks {
		slow.Progress(minBytes)
		b.Check()
	}
	if cause := causeOf(stalled.Err()); cause != CauseSlow || !stalledEnded() {
		t.Errorf("the stalled request has the cause %q, interrupted %t", cause, stalledEnded())
	}
	if slow.Err() != nil || slowEnded() {
		t.Errorf("the slow request: %v, interrupted %t", slow.Err(), slowEnded())
	}
}

// TestConnectionsYield checks that the request that has been slow for longest yields its connection, and none that is not slow.
func TestConnectionsYield(t *testing.T) {
	b := newTestBudget()
	first, firstEnded := begin(b)
	b.Check()
	_, secondEnded := begin(b)
	if b.EndSlow(CauseConnections) {
		t.Error("a request yields that is not slow")
	}
	for range slowChecks {
		b.Check()
	}
	if !b.EndSlow(CauseConnections) || !firstEnded() || secondEnded() {
		t.Errorf("first %t, second %t, want the first to yield", firstEnded(), secondEnded())
	}
	first.Release()
	if _, requests := b.Used(); requests != 1 {
		t.Errorf("%d requests are open, want 1", requests)
	}
}

// TestBudgetHolds checks with random requests that their memory does not exceed the limit, that what is charged is that of the
// open requests, and that a request alone is never refused.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget()
		var open []*Holding
		pick := func(t *rapid.T) *Holding {
			if len(open) == 0 {
				t.Skip("no request")
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "request")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { open = append(open, b.Begin(func() {})) },
			"charge": func(t *rapid.T) {
				h := pick(t)
				n := rapid.Int64Range(1, testShare/2).Draw(t, "bytes")
				alone := b.used == h.charged && h.refused == ""
				fitsAlone := largestShares*(h.bytes+n) <= testShare
				if err := h.Charge(n); err != nil && alone && fitsAlone {
					t.Fatalf("a request alone is refused: %v", err)
				}
			},
			"progress": func(t *rapid.T) { pick(t).Progress(rapid.IntRange(0, 2*slowBytes).Draw(t, "bytes")) },
			"check":    func(*rapid.T) { b.Check() },
			"yield":    func(*rapid.T) { b.EndSlow(CauseConnections) },
			"complete": func(t *rapid.T) { _ = pick(t).Complete() },
			"release":  func(t *rapid.T) { pick(t).Release() },
			"": func(t *rapid.T) {
				sum := int64(0)
				for h := range b.open {
					sum += h.charged
					if h.refused != "" && h.charged > 0 {
						t.Fatal("a refused request is charged")
					}
				}
				if sum != b.used || b.used > b.limit {
					t.Fatalf("%d bytes used, %d charged, limit %d", b.used, sum, b.limit)
				}
			},
		})
	})
}

// TestReadBodyIsWhole checks that bodies are read whole, whatever the sizes of their pieces.
func TestReadBodyIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 3*firstBytes).Draw(t, "content")
		length := rapid.SampledFrom([]int64{-1, int64(len(content))}).Draw(t, "length")
		var r io.Reader = bytes.NewReader(content)
		if rapid.Bool().Draw(t, "byByte") {
			r = iotest.OneByteReader(r)
		}
		if rapid.Bool().Draw(t, "endsWithData") {
			r = iotest.DataErrReader(r)
		}
		h, _ := begin(newTestBudget())
		body, err := ReadBody(r, length, 0, h)
		if err != nil || !bytes.Equal(body, content) {
			t.Fatalf("%d of %d bytes, %v", len(body), len(content), err)
		}
	})
}
