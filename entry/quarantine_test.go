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

// hold has an instance learn that servers ended under a request, which runs alone once it is
// a suspect.
func hold(r *running, fp serving.Fingerprint, ends int) {
	for n := range ends {
		b := quarantine.BrokenAttempt{Fingerprint: fp, Subject: "POST h.example/x m1", Server: serving.Server{ID: string(rune('a' + n)), Version: "v1"}, Isolated: n >= quarantine.SuspectAfter}
		r.crashes.quarantine.recordChange(r.quarantine.ledger.RecordCrash(b, time.Now()))
	}
}

// everywhere reports whether all instances treat a request in a way.
func (f *fleet) everywhere(fp serving.Fingerprint, want quarantine.State) func() bool {
	return func() bool {
		for _, r := range f.instances {
			if r.quarantine.ledger.State(fp) != want {
				return false
			}
		}
		return true
	}
}

// TestQuarantineOutlastsInstances: what is held is known everywhere within moments, to an
// instance that starts after all others have ended, and not any more after an operator has
// released it anywhere.
func TestQuarantineOutlastsInstances(t *testing.T) {
	f := newFleetWith(t, 3, Options{OperatorsPort: testOperatorsPort})
	f.await("a holder", func() bool { return f.holder() != nil })
	hold(f.instances[0], "fp", quarantine.QuarantineAfter)
	f.await("known everywhere", f.everywhere("fp", quarantine.Quarantined))
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
	f.await("known to one that starts", f.everywhere("fp", quarantine.Quarantined))
	f.addInstance(11)
	f.await("known to another", f.everywhere("fp", quarantine.Quarantined))
	list, err := operatorsOf(r).ListQuarantine(t.Context(), connect.NewRequest(&martenportv1.ListQuarantineRequest{}))
	if err != nil || len(list.Msg.Requests) != 1 || list.Msg.Requests[0].State != "quarantined" || len(list.Msg.Requests[0].Servers) != 3 || list.Msg.Requests[0].Subject == "" {
		t.Errorf("%v, %v: want the request with what is known of it", list, err)
	}
	released, err := operatorsOf(f.instances[1]).Release(t.Context(), connect.NewRequest(&martenportv1.ReleaseRequest{Fingerprint: "fp"}))
	if err != nil || released.Msg.State != "quarantined" {
		t.Errorf("%v, %v", released, err)
	}
	f.await("released everywhere", f.everywhere("fp", quarantine.Clear))
	f.await("removed from the store", func() bool {
		_, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err != nil
	})
	if _, err := operatorsOf(r).Release(t.Context(), connect.NewRequest(&martenportv1.ReleaseRequest{Fingerprint: "fp"})); connect.CodeOf(err) != connect.CodeNotFound {
		t.Errorf("released twice: %v", err)
	}
}

// TestEndsAddUpOverInstances: ends that different instances have seen add up.
func TestEndsAddUpOverInstances(t *testing.T) {
	f := newFleet(t, 3)
	f.await("a holder", func() bool { return f.holder() != nil })
	for n, r := range f.instances {
		b := quarantine.BrokenAttempt{Fingerprint: "fp", Server: serving.Server{ID: string(rune('a' + n))}, Isolated: n >= quarantine.SuspectAfter}
		r.quarantine.recordChange(r.quarantine.ledger.RecordCrash(b, time.Now()))
	}
	f.await("known everywhere", f.everywhere("fp", quarantine.Quarantined))
	f.await("written by one that has put it together", func() bool {
		_, err := f.store.Get(t.Context(), prefixQuarantine+"fp")
		return err == nil
	})
}

// TestQuarantineWithoutHolder: while no holder answers and the store is away, so that there can
// be no other, instances tell each other.
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
	var left []*running
	for _, r := range f.instances {
		if r != lost {
			left = append(left, r)
		}
	}
	f.instances = left
	lost.kill()
	f.store.SetDown(true)
	defer f.store.SetDown(false)
	hold(left[0], "fp", quarantine.QuarantineAfter)
	f.await("known everywhere", f.everywhere("fp", quarantine.Quarantined))
	if f.holder() != nil {
		t.Error("there is a holder, which may have told them")
	}
}

// TestQuarantinedIsRefusedForGood: the client is told with a status after which it does not
// come again, at once, and what the cause is.
func TestQuarantinedIsRefusedForGood(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	req := &serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x?q=1", Body: []byte("body")}
	hold(r, serving.FingerprintOf(req, ""), quarantine.QuarantineAfter)
	a := f.ask(r, "stream", "m4")
	if a.status != http.StatusBadRequest || a.after != 0 || f.runs(a.id) != 0 {
		t.Errorf("%+v, ran %d times, want 400 without a time to come back", a, f.runs(a.id))
	}
	if other := f.askUntilServed(r, "unsafe", ""); other.status != http.StatusOK {
		t.Errorf("%+v: another request", other)
	}
	for _, s := range f.servers {
		for _, o := range s.Orders() {
			if o.Unit == "m4" {
				t.Error("a model was loaded for a request that is refused")
			}
		}
	}
}

// TestBrokenAnswersAreNoEnds: servers that break answers off, and are there, hold nothing
// against the requests, however often they do.
func TestBrokenAnswersAreNoEnds(t *testing.T) {
	f := newFleet(t, 1)
	r := f.instances[0]
	f.askUntilServed(r, "stream", "m1")
	for _, s := range f.servers {
		s.CutStreams(20)
	}
	broken := 0
	for n := 0; n < 40; n++ {
		if a := f.ask(r, "stream", "m1"); a.body != wholeStream("m1") {
			broken++
		}
	}
	req := &serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x?q=1", Body: []byte("body")}
	record, known := r.quarantine.ledger.Record(serving.FingerprintOf(req, ""), time.Now())
	if broken == 0 {
		t.Error("no answer broke off: nothing was put to the test")
	}
	if known && len(record.Crashes)+len(record.Cleared) > 0 {
		t.Errorf("%+v held against a request whose servers are there", record)
	}
}

// TestEndOfRunAloneOutlastsInstances: a request does not run while it is open whether it ended the
// server on which it ran alone, and instances that start after all others have ended decide it.
// Guards against requests that end one more server after each restart of all instances.
func TestEndOfRunAloneOutlastsInstances(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	r := f.holder()
	for n, fps := range [][]serving.Fingerprint{{"fp"}, {"fp", "beside"}, {"beside"}} {
		for _, fp := range fps {
			endUnder(r, fp, n, false)
		}
	}
	endUnder(r, "fp", 3, true)
	trial := &TrialArgs{Trial: quarantine.Trial{Fingerprint: "fp", Server: "e1", Instance: "other"}, Version: "v1", LongestMS: 1000}
	var reply TrialReply
	if err := r.service.Trial(trial, &reply); err != nil || reply.Granted {
		t.Errorf("%v, %+v: it may run before that is decided", err, reply)
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
	f.await("decided by others", f.everywhere("fp", quarantine.Quarantined))
	f.await("the request beside it is cleared", f.everywhere("beside", quarantine.Clear))
}

// endUnder has an instance learn that a server has ended under a request.
func endUnder(r *running, fp serving.Fingerprint, server int, alone bool) {
	s := serving.Server{ID: string(rune('a' + server)), Version: "v1"}
	b := quarantine.BrokenAttempt{Fingerprint: fp, Server: s, Isolated: alone}
	r.crashes.countEnd(quarantine.IncarnationOf(s), []timedAttempt{{b, time.Now()}}, time.Now())
}
