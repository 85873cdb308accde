package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/serving"
)

// recordCrashes makes an instance record n crashes of different servers against a request. The first SuspectAfter
// crashes make the request a suspect; the others are recorded as crashes in isolated runs.
func recordCrashes(r *running, fp serving.Fingerprint, n int) {
	for i := range n {
		b := quarantine.BrokenAttempt{Fingerprint: fp, Subject: "POST h.example/x m1", Server: serving.Server{ID: string(rune('a' + i)), Version: "v1"}, Isolated: i >= quarantine.SuspectAfter}
		r.crashes.quarantine.recordChange(r.quarantine.ledger.RecordCrash(b, time.Now()))
	}
}

// allInState returns a condition for await: a request is in the given state at all instances.
func (f *fleet) allInState(fp serving.Fingerprint, want quarantine.State) func() bool {
	return func() bool {
		for _, r := range f.instances {
			if r.quarantine.ledger.State(fp) != want {
				return false
			}
		}
		return true
	}
}

// TestQuarantineOutlastsInstances checks that a quarantined request is known at all instances, also at one that
// starts after all others have ended, until an operator releases it at any instance.
func TestQuarantineOutlastsInstances(t *testing.T) {
	f := newFleetWith(t, 3, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	recordCrashes(f.instances[0], "fp", quarantine.QuarantineAfter)
	f.await("known everywhere", f.allInState("fp", quarantine.Quarantined))
	f.await("written", func() bool {
		_, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err == nil
	})
	for _, r := range f.instances {
		r.kill()
		<-r.done
	}
	f.instances = nil
	r := f.addInstance(10)
	f.await("known to a new instance", f.allInState("fp", quarantine.Quarantined))
	f.addInstance(11)
	f.await("known to another", f.allInState("fp", quarantine.Quarantined))
	list, err := operatorsOf(r).ListQuarantine(t.Context(), connect.NewRequest(&martenportv1.ListQuarantineRequest{}))
	if err != nil || len(list.Msg.Requests) != 1 || list.Msg.Requests[0].State != "quarantined" || len(list.Msg.Requests[0].Servers) != 3 || list.Msg.Requests[0].Subject == "" {
		t.Errorf("%v, %v: want the request with its record", list, err)
	}
	released, err := operatorsOf(f.instances[1]).Release(t.Context(), connect.NewRequest(&martenportv1.ReleaseRequest{Fingerprint: "fp"}))
	if err != nil || released.Msg.State != "quarantined" {
		t.Errorf("%v, %v", released, err)
	}
	f.await("released everywhere", f.allInState("fp", quarantine.Clear))
	f.await("removed from the store", func() bool {
		_, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err != nil
	})
	if _, err := operatorsOf(r).Release(t.Context(), connect.NewRequest(&martenportv1.ReleaseRequest{Fingerprint: "fp"})); connect.CodeOf(err) != connect.CodeNotFound {
		t.Errorf("released twice: %v", err)
	}
}

// TestCrashesAddUpAcrossInstances checks that a request is quarantined everywhere if each of three instances has
// recorded one crash against it.
func TestCrashesAddUpAcrossInstances(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	for n, r := range f.instances {
		b := quarantine.BrokenAttempt{Fingerprint: "fp", Server: serving.Server{ID: string(rune('a' + n))}, Isolated: n >= quarantine.SuspectAfter}
		r.quarantine.recordChange(r.quarantine.ledger.RecordCrash(b, time.Now()))
	}
	f.await("known everywhere", f.allInState("fp", quarantine.Quarantined))
	f.await("written by an instance that merged the crashes", func() bool {
		_, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err == nil
	})
}

// TestQuarantineWithoutHolder checks that instances inform each other directly while no holder answers and the
// store is unavailable, so that there can be no other holder.
func TestQuarantineWithoutHolder(t *testing.T) {
	f := newFleet(t, 4)
	f.await("a holder", func() bool { return f.holder() != nil })
	f.await("instances know each other", func() bool {
		for _, r := range f.instances {
			if len(r.members.lastKnown(t.Context())) != 3 {
				return false
			}
		}
		return true
	})
	lost := f.holder()
	var remaining []*running
	for _, r := range f.instances {
		if r != lost {
			remaining = append(remaining, r)
		}
	}
	f.instances = remaining
	lost.kill()
	f.store.SetDown(true)
	defer f.store.SetDown(false)
	recordCrashes(remaining[0], "fp", quarantine.QuarantineAfter)
	f.await("known everywhere", f.allInState("fp", quarantine.Quarantined))
	if f.holder() != nil {
		t.Error("there is a holder, which may have informed them")
	}
}

// TestQuarantinedIsRefused checks that a quarantined request is refused immediately, with a status that is not
// retried, and that no model is loaded for it.
func TestQuarantinedIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	req := &serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x?q=1", Body: []byte("body")}
	recordCrashes(r, serving.FingerprintOf(req), quarantine.QuarantineAfter)
	f.await("quarantined", f.allInState(serving.FingerprintOf(req), quarantine.Quarantined))
	a := f.request(r, "stream", "m4")
	if a.status != http.StatusBadRequest || a.retryAfter != 0 || f.runs(a.id) != 0 {
		t.Errorf("%+v, ran %d times, want 400 without Retry-After", a, f.runs(a.id))
	}
	if other := f.requestUntilServed(r, "unsafe", ""); other.status != http.StatusOK {
		t.Errorf("another request: %+v", other)
	}
	for _, s := range f.servers {
		for _, o := range s.Orders() {
			if o.Unit == "m4" {
				t.Error("a model was loaded for a request that is refused")
			}
		}
	}
}

// TestCutOffAnswersAreNoCrashes checks that servers that cut answers off, but do not crash, never count against the
// requests.
func TestCutOffAnswersAreNoCrashes(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	f.requestUntilServed(r, "stream", "m1")
	for _, s := range f.servers {
		s.CutStreams(20)
	}
	cutOff := 0
	for n := 0; n < 40; n++ {
		if a := f.request(r, "stream", "m1"); a.body != wholeStream("m1") {
			cutOff++
		}
	}
	req := &serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x?q=1", Body: []byte("body")}
	record, known := r.quarantine.ledger.Record(serving.FingerprintOf(req), time.Now())
	if cutOff == 0 {
		t.Error("no answer was cut off: nothing was tested")
	}
	if known && len(record.Crashes)+len(record.Cleared) > 0 {
		t.Errorf("%+v recorded against a request whose servers have not crashed", record)
	}
}

// TestPendingCrashOutlastsInstances checks that a request may not run while it is pending whether the crash of the
// server of its isolated run is attributed to it, and that instances that start after all others have ended decide
// this. Guards against requests that crash one more server after each restart of all instances.
func TestPendingCrashOutlastsInstances(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	r := f.holder()
	for n, fps := range [][]serving.Fingerprint{{"fp"}, {"fp", "beside"}, {"beside"}} {
		for _, fp := range fps {
			recordServerCrash(r, fp, n, false)
		}
	}
	recordServerCrash(r, "fp", 3, true)
	trial := &TrialArgs{Trial: quarantine.Trial{Fingerprint: "fp", Server: "e1", Instance: "other"}, Version: "v1", LongestMS: 1000}
	var reply TrialReply
	if err := r.service.Trial(trial, &reply); err != nil || reply.Granted {
		t.Errorf("%v, %+v: it may run before the crash is attributed", err, reply)
	}
	f.await("written", func() bool {
		obj, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err == nil && strings.Contains(string(obj.Value), "pending")
	})
	for _, r := range f.instances {
		r.kill()
		<-r.done
	}
	f.instances = nil
	f.addInstance(10)
	f.addInstance(11)
	f.await("decided by new instances", f.allInState("fp", quarantine.Quarantined))
	f.await("the concurrent request is cleared", f.allInState("beside", quarantine.Clear))
}

// recordServerCrash makes an instance record the crash of a server that was running a request. Calls with the same
// server number are about the same server.
func recordServerCrash(r *running, fp serving.Fingerprint, server int, isolated bool) {
	s := serving.Server{ID: string(rune('a' + server)), Version: "v1"}
	b := quarantine.BrokenAttempt{Fingerprint: fp, Server: s, Isolated: isolated}
	r.crashes.countEnd(quarantine.IncarnationOf(s), []timedAttempt{{b, time.Now()}}, time.Now())
}
