package holder

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/internal/standin"
)

// TestPeersAfterTakeOver: a new holder has received few reports. The first instance to report was informed that it
// was the only one, and used the whole budget of repeated sends that six instances share. In the log of a run the
// counts were 1 to 5 at that time.
func TestPeersAfterTakeOver(t *testing.T) {
	p := newInstanceReports().peers
	now := time.Unix(1000, 0)
	for i, name := range []string{"a", "b", "c"} {
		at := now.Add(time.Duration(i) * reportLifetime / 4)
		p.recordReport(name, "d", at)
		if n := p.count("d", at); n != 0 {
			t.Errorf("%s: count %d before all can have reported, want 0", name, n)
		}
	}
	p.recordReport("e", "other", now)
	if n := p.count("d", now.Add(reportLifetime)); n != 3 {
		t.Errorf("%d instances, want the 3 in the failure domain", n)
	}
}

// TestUnreachablePeerStillCounted: an instance that stops reporting is still counted, since it may be partitioned
// from the holder and continue to use its share. It is not counted for ever.
func TestUnreachablePeerStillCounted(t *testing.T) {
	p := newInstanceReports().peers
	now := time.Unix(1000, 0)
	p.recordReport("a", "d", now)
	p.recordReport("b", "d", now)
	now = now.Add(peerRetention - time.Second)
	p.recordReport("a", "d", now)
	if n := p.count("d", now); n != 2 {
		t.Errorf("%d instances while one may be partitioned, want 2", n)
	}
	if n := p.count("d", now.Add(2*time.Second)); n != 1 {
		t.Errorf("%d instances after peerRetention, want 1", n)
	}
}

// TestPeersReportedPerFailureDomain: each reporting instance receives the number of instances in its own failure
// domain, once all of them can have reported.
func TestPeersReportedPerFailureDomain(t *testing.T) {
	h := newTestHolder("a", standin.NewPlatform(), &fakeEngine{}, time.Millisecond)
	if err := h.TakeOver(t.Context(), lease.Record{}, 0, "test"); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	peerCounts := func(at time.Time) map[string]int {
		counts := map[string]int{}
		for name, domain := range map[string]string{"a": "x", "b": "x", "c": "y"} {
			reply, err := h.Exchange(Report{Name: name, Domain: domain}, at)
			if err != nil {
				t.Fatal(err)
			}
			counts[name] = reply.Peers
		}
		return counts
	}
	for name, n := range peerCounts(now) {
		if n != 0 {
			t.Errorf("%s: count %d right after the take-over, want 0", name, n)
		}
	}
	if counts := peerCounts(now.Add(reportLifetime)); counts["a"] != 2 || counts["b"] != 2 || counts["c"] != 1 {
		t.Errorf("counts %v, want 2 for a and b, 1 for c", counts)
	}
}
