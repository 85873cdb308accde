package entry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

// TestStreamBeginsBeforeItsVersionIsMarked guards against streams of a version that no mark names: if all instances are
// killed then and its servers leave, the streams go on at another version.
func TestStreamBeginsBeforeItsVersionIsMarked(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1")
	f.await("marked", func() bool { return strings.Contains(markOf(t, f.store, "llm"), "v1") })
	f.await("certain", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.marks.certain() })
	})
	f.addVersion("v2", "v2", "m1")
	const clients, streams = 8, 40
	var unmarked, begun atomic.Int32
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			for begun.Load() < streams && t.Context().Err() == nil {
				got := f.send(f.randomInstance(), attempt{id: newAttemptID(), leaveAfter: 1})
				if !slices.Contains(got.versions, "v2") {
					continue
				}
				begun.Add(1)
				if !strings.Contains(markOf(t, f.store, "llm"), "v2") {
					unmarked.Add(1)
				}
			}
		})
	}
	sending.Wait()
	if n := unmarked.Load(); n > 0 {
		t.Errorf("%d of %d streams of v2 began while the mark named v1 only", n, begun.Load())
	}
}

// TestVersionIsHeldBackUntilMarked guards against a version that is held back for good, or not until its mark is written.
func TestVersionIsHeldBackUntilMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		one := writeMark(t, p)
		m := newMarks(t, p, func() bool { return false })
		check := func(when string, want bool) {
			t.Helper()
			if m.HoldsBack("s", "v1") || m.HoldsBack("s", "v2") != want {
				t.Errorf("%s: v1 held back %t, v2 %t, want false and %t", when, m.HoldsBack("s", "v1"), m.HoldsBack("s", "v2"), want)
			}
		}
		check("before marks are read", false)
		m.update(t.Context())
		check("before its first server", true)
		m.dir.ApplyServer(serving.Server{ID: "b", Service: "s", Version: "v2", Revision: 2}, clock.Now())
		m.update(t.Context())
		check("before it is marked", true)
		if m.HoldsBack("another", "v2") {
			t.Error("held back at a service without a mark")
		}
		time.Sleep(maxReadPause)
		marked, err := p.Put(t.Context(), one.Key, []byte(`{"versions":["v1","v2"]}`), one.Version)
		if err != nil {
			t.Fatal(err)
		}
		m.update(t.Context())
		check("marked", false)
		if _, err := p.Put(t.Context(), one.Key, []byte(oneVersionMark), marked.Version); err != nil {
			t.Fatal(err)
		}
		m.dir.ApplyServer(serving.Server{ID: "c", Service: "s", Version: "v3", Revision: 3}, clock.Now())
		for waited := time.Duration(0); waited <= maxHeldBackTime+maxReadPause; waited += marksInterval {
			m.update(t.Context())
			time.Sleep(marksInterval)
		}
		if m.HoldsBack("s", "v3") {
			t.Error("held back for good while the mark is not written")
		}
	})
}

// TestExpiredVersionIsHeldBackAgain guards against a version that returns after its mark was removed, and that streams begin
// at before it is marked again.
func TestExpiredVersionIsHeldBackAgain(t *testing.T) {
	p := standin.NewPlatform()
	m := newMarks(t, p, func() bool { return true })
	m.dir.ApplyServer(serving.Server{ID: "b", Service: "s", Version: "v2", Revision: 2}, clock.Now())
	m.update(t.Context())
	if m.HoldsBack("s", "v2") {
		t.Fatal("held back although marked")
	}
	now := clock.Now()
	m.dir.RemoveServer("b", 3, now.Add(-time.Hour))
	m.dir.Sweep(now)
	m.update(t.Context())
	if got := markOf(t, p, "s"); got != oneVersionMark {
		t.Fatalf("mark %s", got)
	}
	m.dir.ApplyServer(serving.Server{ID: "b", Service: "s", Version: "v2", Revision: 4}, now)
	if !m.HoldsBack("s", "v2") {
		t.Error("not held back")
	}
	m.update(t.Context())
	if m.HoldsBack("s", "v2") {
		t.Error("held back although marked again")
	}
}
