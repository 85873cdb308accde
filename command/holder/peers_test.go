package holder

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/standin"
)

// TestPeersAfterTakeOver: a holder that has just taken over has heard from few. The
// first to report was told that it was the only instance, and took all of what six
// share of the budget of repeated sends; the log of a play had counts of 1 to 5 then.
func TestPeersAfterTakeOver(t *testing.T) {
	p := newAccount().peers
	now := time.Unix(1000, 0)
	for i, name := range []string{"a", "b", "c"} {
		at := now.Add(time.Duration(i) * instanceLifetime / 4)
		p.heard(name, "d", at)
		if n := p.count("d", at); n != 0 {
			t.Errorf("%s was told %d while not all can have reported", name, n)
		}
	}
	p.heard("e", "other", now)
	if n := p.count("d", now.Add(instanceLifetime)); n != 3 {
		t.Errorf("%d instances, want the 3 of the failure domain", n)
	}
}

// TestPeersCutOff: an instance that is not heard any more still counts, since it may be
// cut off and go on spending its share, but not for ever.
func TestPeersCutOff(t *testing.T) {
	p := newAccount().peers
	now := time.Unix(1000, 0)
	p.heard("a", "d", now)
	p.heard("b", "d", now)
	now = now.Add(peerLifetime - time.Second)
	p.heard("a", "d", now)
	if n := p.count("d", now); n != 2 {
		t.Errorf("%d instances while one may be cut off, want 2", n)
	}
	if n := p.count("d", now.Add(2*time.Second)); n != 1 {
		t.Errorf("%d instances long after one was heard last, want 1", n)
	}
}

// TestPeersTold: each instance that reports is told how many there are in its own
// failure domain, once all can have reported.
func TestPeersTold(t *testing.T) {
	h := newTestHolder("a", standin.NewPlatform(), &fakeEngine{}, time.Millisecond)
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	told := func(at time.Time) map[string]int {
		counts := map[string]int{}
		for name, domain := range map[string]string{"a": "x", "b": "x", "c": "y"} {
			news, err := h.Exchange(Report{Name: name, Domain: domain}, at)
			if err != nil {
				t.Fatal(err)
			}
			counts[name] = news.Peers
		}
		return counts
	}
	for name, n := range told(now) {
		if n != 0 {
			t.Errorf("%s was told %d at once", name, n)
		}
	}
	if counts := told(now.Add(instanceLifetime)); counts["a"] != 2 || counts["b"] != 2 || counts["c"] != 1 {
		t.Errorf("%v, want 2 for a and b, 1 for c", counts)
	}
}
