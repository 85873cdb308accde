package entry

import (
	"testing"
	"time"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
)

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

// TestIsolatedRunOnFailingServer guards against quarantining a request whose isolated run was sent to a server on which
// answers had broken off before: what ended the server had begun already (soak seed 3).
func TestIsolatedRunOnFailingServer(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	for id, began := range map[string]time.Duration{"e1": time.Second, "e2": -time.Second} {
		s, _ := r.dir.Server(id)
		r.crashes.RecordBrokenAnswer(quarantine.BrokenAttempt{Fingerprint: serving.Fingerprint("other-" + id), Server: s, SentAt: clock.Now().Add(-time.Minute)})
		isolated := quarantine.BrokenAttempt{Fingerprint: "isolated", Server: s, SentAt: clock.Now().Add(began), Isolated: true}
		r.crashes.RecordBrokenAnswer(isolated)
		r.crashes.recordEnd(quarantine.IncarnationOf(s), "test")
	}
	var record quarantine.Record
	f.await("isolated runs decided", func() bool {
		record, _ = r.quarantine.ledger.Record("isolated", clock.Now())
		return len(record.Pending) == 0
	})
	if len(record.Crashes) != 2 || len(record.Alone) != 1 || record.Alone[0].Server != "e2" {
		t.Errorf("crashes %v, %v of isolated runs; want both, and that of the run that began before", record.Crashes, record.Alone)
	}
}

// TestEntryGoneOfRunningEngine guards against requests that count as the cause of the end of an engine that lost its entry only.
func TestEntryGoneOfRunningEngine(t *testing.T) {
	tests := map[string]struct {
		server  string
		disturb func(*standin.Server)
		ended   bool
	}{
		"engine answers":       {"e1", func(*standin.Server) {}, false},
		"engine does not":      {"e1", func(s *standin.Server) { s.Pause(time.Minute) }, true},
		"engine has ended":     {"e1", (*standin.Server).Stop, true},
		"plain server accepts": {"p1", func(*standin.Server) {}, true}, // nothing shows that it is the same process
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			r := f.instances[0]
			s, _ := r.dir.Server(test.server)
			f.stopAnnouncing[test.server]()
			check := r.crashes.RecordBrokenAnswer(quarantine.BrokenAttempt{Fingerprint: "sound", Server: s, SentAt: clock.Now()})
			<-check.FirstProbe
			test.disturb(f.servers[test.server])
			f.expireEntry(test.server)
			f.await("entry gone", func() bool { _, known := r.dir.Server(test.server); return !known })
			f.await("known whether it has ended", func() bool {
				r.crashes.mu.Lock()
				defer r.crashes.mu.Unlock()
				w := r.crashes.incarnations[quarantine.IncarnationOf(s)]
				return w.ended || !test.ended && w.check == nil
			})
			record, _ := r.quarantine.ledger.Record("sound", clock.Now())
			if ended := r.crashes.Crashed(s); ended != test.ended || len(record.Crashes) > 0 != test.ended {
				t.Errorf("counts as ended: %t, ends that count against the request: %v; want %t", ended, record.Crashes, test.ended)
			}
		})
	}
}
