package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// identity returns the identity of a request with parts of its prompt, the last of which is its own.
func identity(fp string, parts ...string) Identity {
	return Identity{Fingerprint: serving.Fingerprint(fp), PromptParts: append(parts, "own-"+fp+":1")}
}

// crashUnder records a crash of a server while a request ran there, and decides it if it is pending.
func crashUnder(l *Ledger, i Identity, n int, isolated bool) {
	l.RecordCrash(BrokenAttempt{Fingerprint: i.Fingerprint, Server: server(n), PromptParts: i.PromptParts, Isolated: isolated}, start)
	l.DecidePending(start.Add(confirmationDelay))
}

// crashWithPart records three crashes under different requests with the part p, the last one during an isolated run.
func crashWithPart(l *Ledger, others ...string) {
	for n := range QuarantineAfter {
		crashUnder(l, identity(fmt.Sprintf("bad-%d", n), append(others, "p:10")...), n, n == QuarantineAfter-1)
	}
}

func checkAssessed(t *testing.T, l *Ledger, what string, i Identity, version string, want State) {
	t.Helper()
	if got, cause := l.Assess(i, version); got != want {
		t.Errorf("%s: %s because of %q, want %s", what, got, cause, want)
	}
}

// TestPartIsQuarantined guards against requests of which no two are alike, but that share a part that crashes servers.
func TestPartIsQuarantined(t *testing.T) {
	l := NewLedger()
	l.RecordBegun(identity("sound", "a:1", "m:2"), "v1", start)
	crashUnder(l, identity("bad-0", "a:1", "p:10"), 0, false)
	if !l.Implicated(identity("bad-1", "p:10")) || l.Implicated(identity("sound", "a:1")) {
		t.Error("after one crash the part alone has to be implicated")
	}
	crashUnder(l, identity("bad-1", "a:1", "p:10"), 1, false)
	checkAssessed(t, l, "two crashes", identity("bad-2", "a:1", "p:10"), "", Suspect)
	crashUnder(l, identity("bad-2", "a:1", "p:10"), 2, true)
	checkAssessed(t, l, "three crashes", identity("bad-3", "a:1", "p:10"), "", Quarantined)
	checkAssessed(t, l, "other count of tokens", identity("bad-4", "p:11"), "", Quarantined)
	checkAssessed(t, l, "without the part", identity("sound", "a:1", "m:2"), "", Clear)
	checkAssessed(t, l, "as the request's own part", Identity{Fingerprint: "own", PromptParts: []string{"a:1", "p:10"}}, "", Clear)
	checkAssessed(t, l, "another service", Identity{Fingerprint: "x", Service: "other", PromptParts: []string{"p:10", "own"}}, "", Clear)
	checkAssessed(t, l, "a new version", identity("bad-5", "p:10"), "v2", Suspect)
}

// TestBegunPartIsClear: a part with which an answer has begun at one instance is not held because of crashes of the same
// version at another one.
func TestBegunPartIsClear(t *testing.T) {
	here, there := NewLedger(), NewLedger()
	here.RecordBegun(identity("sound", "p:10"), "v1", start)
	crashWithPart(there)
	here.Merge(there.RecordsOfIdentity(identity("x", "p:10"), start), start)
	checkAssessed(t, here, "begun here", identity("x", "p:10"), "", Clear)
	there.Merge(here.RecordsOfIdentity(identity("x", "p:10"), start), start)
	checkAssessed(t, there, "told that it began", identity("x", "p:10"), "", Clear)
	there = NewLedger()
	crashWithPart(there)
	there.RecordBegun(identity("sound", "p:10"), "v2", start)
	checkAssessed(t, there, "begun at another version", identity("x", "p:10"), "v1", Quarantined)
	late := start.Add(2 * begunRetention)
	here = NewLedger()
	here.RecordBegun(identity("sound", "p:10"), "v1", start)
	here.RecordCrash(BrokenAttempt{Fingerprint: "r", Server: server(7), PromptParts: []string{"p:10", "own"}}, late)
	if !here.Implicated(identity("x", "p:10")) {
		t.Error("an answer that began long ago clears a part")
	}
}

// TestCompanionPartIsNotHeld guards against refusing sound requests because of a part that all requests with a part that
// crashes servers had, too: they run isolated, and one that begins clears the part.
func TestCompanionPartIsNotHeld(t *testing.T) {
	l := NewLedger()
	crashWithPart(l, "q:5")
	checkAssessed(t, l, "both parts", identity("bad", "q:5", "p:10"), "", Quarantined)
	checkAssessed(t, l, "the companion alone", identity("sound", "q:5"), "", Suspect)
	checkAssessed(t, l, "the part alone", identity("other", "p:10"), "", Suspect)
	crashUnder(l, identity("other", "p:10"), 5, true)
	checkAssessed(t, l, "the part alone, after another crash", identity("other", "p:10"), "", Quarantined)
	l.RecordBegun(identity("sound", "q:5"), "v1", start)
	checkAssessed(t, l, "the companion has begun", identity("sound-2", "q:5"), "", Clear)
	checkAssessed(t, l, "both parts again", identity("bad", "q:5", "p:10"), "", Quarantined)
}

// TestPartOutlivesRequest guards against a quarantined request that takes the crashes of a part of its prompt with it.
func TestPartOutlivesRequest(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("bad", "p:10"), n, n == QuarantineAfter-1)
	}
	checkAssessed(t, l, "the request", identity("bad"), "", Quarantined)
	checkAssessed(t, l, "another request with the part", identity("next", "p:10"), "", Suspect)
	crashUnder(l, identity("next", "p:10"), 5, true)
	checkAssessed(t, l, "after it crashed a server", identity("third", "p:10"), "", Quarantined)
}

// TestPartsAreBounded guards against records that grow with the parts that clients name.
func TestPartsAreBounded(t *testing.T) {
	var parts []string
	for n := range 2 * maxParts {
		parts = append(parts, fmt.Sprintf("p%d:1", n))
	}
	parts = append(parts, "own")
	i := Identity{PromptParts: parts}
	if n := len(i.partFingerprints()); n != maxParts {
		t.Errorf("%d parts recorded, want %d", n, maxParts)
	}
	i = Identity{PromptParts: []string{string(make([]byte, maxPartID+1)), "", ":5", "own"}}
	if fps := i.partFingerprints(); len(fps) > 0 {
		t.Errorf("recorded %v", fps)
	}
	l := NewLedger()
	for n := range 2 * maxRecords {
		crashUnder(l, identity("r", fmt.Sprintf("p%d:1", n)), n%maxCleared, false)
	}
	if n := len(l.records); n > maxRecords {
		t.Errorf("%d records", n)
	}
	if n := l.partRecords.Load(); int(n) > maxRecords || n == 0 {
		t.Errorf("%d records of parts counted", n)
	}
	l.Expire(start.Add(2 * quarantineLifetime))
	if n := l.partRecords.Load(); n != 0 {
		t.Errorf("%d records of parts counted after all have expired", n)
	}
}

// TestTrialsOfPart: only one request with a suspect part is on trial at a time.
func TestTrialsOfPart(t *testing.T) {
	trials := NewTrials()
	first := Trial{Fingerprint: "a", Parts: []serving.Fingerprint{"part-1", "part-2"}, Server: "s1"}
	if !trials.Begin(first, time.Minute, start) {
		t.Fatal("no trial")
	}
	if trials.Begin(Trial{Fingerprint: "b", Parts: []serving.Fingerprint{"part-2"}, Server: "s2"}, time.Minute, start) {
		t.Error("two trials of a part")
	}
	if !trials.Begin(Trial{Fingerprint: "b", Parts: []serving.Fingerprint{"part-3"}, Server: "s2"}, time.Minute, start) {
		t.Error("no trial of another part")
	}
	trials.Hold(first, time.Second, start)
	if trials.Begin(Trial{Fingerprint: "c", Parts: []serving.Fingerprint{"part-1"}, Server: "s3"}, time.Minute, start) {
		t.Error("a trial of a part that is held")
	}
	if !trials.Begin(Trial{Fingerprint: "c", Parts: []serving.Fingerprint{"part-1"}, Server: "s3"}, time.Minute, start.Add(time.Second)) {
		t.Error("no trial after the hold")
	}
}

// BenchmarkAssess: what a send costs while no crash of a part is known.
func BenchmarkAssess(b *testing.B) {
	l, i := NewLedger(), identity("r", "5c1e07a2:800", "91bd3f06:410")
	b.ReportAllocs()
	for b.Loop() {
		l.Assess(i, "v1")
	}
}

// BenchmarkAssessBesideParts: what a send costs while crashes of other parts are known.
func BenchmarkAssessBesideParts(b *testing.B) {
	l, i := NewLedger(), identity("r", "5c1e07a2:800", "91bd3f06:410")
	crashWithPart(l)
	b.ReportAllocs()
	for b.Loop() {
		l.Assess(i, "v1")
	}
}

// BenchmarkRecordBegun: what an answer costs while no crash of a part is known.
func BenchmarkRecordBegun(b *testing.B) {
	l, i := NewLedger(), identity("r", "5c1e07a2:800", "91bd3f06:410")
	b.ReportAllocs()
	for b.Loop() {
		l.RecordBegun(i, "v1", start)
	}
}

// TestRequestBesideTwoParts guards against quarantining a request that many clients send, and that ran on all servers that
// two parts crashed: it has more crashes than either, and one of them is that of an isolated run (soak seed 3).
func TestRequestBesideTwoParts(t *testing.T) {
	l := NewLedger()
	crash := func(fp string, n int, isolated bool, parts ...string) {
		i := identity(fp, parts...)
		l.RecordCrash(BrokenAttempt{Fingerprint: i.Fingerprint, Server: server(n), PromptParts: i.PromptParts, Isolated: isolated}, start)
	}
	for n := range 3 {
		crash(fmt.Sprintf("first-%d", n), n, false, "p:10")
	}
	crash("second", 3, false, "r:10")
	for _, n := range []int{0, 1, 3} {
		crash("shared", n, false, "b:1")
	}
	crash("shared", 2, true, "c:1")
	l.DecidePending(start.Add(confirmationDelay))
	checkAssessed(t, l, "the request", identity("shared"), "", Suspect)
}

// TestRequestWithOwnParts: a request that crashes servers by itself is quarantined although the parts of its prompt have
// the same crashes.
func TestRequestWithOwnParts(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("bad", "p:10"), n, n == QuarantineAfter-1)
	}
	checkAssessed(t, l, "the request", identity("bad"), "", Quarantined)
}

// TestPartBesideUnknownOne guards against quarantining a part whose isolated run ended with a server that another part
// crashed, before that one was a suspect (soak seed 3).
func TestPartBesideUnknownOne(t *testing.T) {
	l := NewLedger()
	crash := func(n int, isolated bool, parts ...string) {
		i := identity(fmt.Sprintf("r-%d", n), parts...)
		l.RecordCrash(BrokenAttempt{Fingerprint: i.Fingerprint, Server: server(n), PromptParts: i.PromptParts, Isolated: isolated}, start)
	}
	crash(0, false, "sound:1")
	crash(1, false, "sound:1")
	crash(2, true, "sound:1")
	for n := 2; n < 6; n++ {
		crash(n, false, "bad:1")
	}
	l.DecidePending(start.Add(confirmationDelay))
	checkAssessed(t, l, "the sound part", identity("x", "sound:1"), "", Suspect)
}

// TestSharedPartBesideDeadlyOne guards against quarantining a part that nearly all requests have, when no instance remembers
// that answers with it have begun: it has all crashes of the part that crashes servers, and others (soak seed 117).
func TestSharedPartBesideDeadlyOne(t *testing.T) {
	for name, cause := range map[string][]string{"another part": {"shared:1", "bad:1"}, "another request": {"shared:1"}} {
		l := NewLedger()
		crash := func(fp string, n int, isolated bool, parts ...string) {
			i := identity(fp, parts...)
			l.RecordCrash(BrokenAttempt{Fingerprint: i.Fingerprint, Server: server(n), PromptParts: i.PromptParts, Isolated: isolated}, start)
		}
		crash("sound-0", 0, false, "shared:1")
		crash("sound-1", 1, false, "shared:1")
		for n := 1; n < 4; n++ {
			crash("bad", n, false, cause...)
		}
		crash("sound-2", 3, true, "shared:1")
		l.DecidePending(start.Add(confirmationDelay))
		if got, _ := l.Assess(identity("sound-3", "shared:1"), ""); got != Suspect {
			t.Errorf("beside %s: %s, want suspect", name, got)
		}
	}
}

// TestBegunPartStaysClear guards against quarantining a part that many requests share after instances have lost their
// memory of answers: one answer that began at a version shows that the part crashes none of its servers (soak seeds 124, 128).
func TestBegunPartStaysClear(t *testing.T) {
	l := NewLedger()
	crashUnder(l, identity("r-0", "shared:1"), 0, false)
	l.RecordBegun(identity("sound", "shared:1"), "v1", start)
	successor := NewLedger()
	successor.Merge(l.RecordsOfIdentity(identity("x", "shared:1"), start), start)
	for n := 1; n < 6; n++ {
		crashUnder(successor, identity(fmt.Sprintf("r-%d", n), "shared:1"), n, n > 2)
	}
	checkAssessed(t, successor, "begun at this version", identity("x", "shared:1"), "", Clear)
	for n := 6; n < 9; n++ {
		successor.RecordCrash(BrokenAttempt{Fingerprint: serving.Fingerprint(fmt.Sprintf("r-%d", n)), Server: serving.Server{ID: fmt.Sprint(n), Version: "v2"}, PromptParts: []string{"shared:1", "own"}, Isolated: n == 8}, start)
	}
	successor.DecidePending(start.Add(confirmationDelay))
	checkAssessed(t, successor, "crashes of another version", identity("x", "shared:1"), "v2", Quarantined)
}

// TestRepeatedRequestBeforeItsPart guards against refusing all requests with a part because one of them, sent repeatedly,
// crashes servers by itself. Which of the two records is decided first must not depend on chance.
func TestRepeatedRequestBeforeItsPart(t *testing.T) {
	for range 50 {
		l := NewLedger()
		repeated := identity("repeated", "shared:1")
		for n := range QuarantineAfter {
			l.RecordCrash(BrokenAttempt{Fingerprint: repeated.Fingerprint, Server: server(n), PromptParts: repeated.PromptParts, Isolated: n == QuarantineAfter-1}, start)
		}
		l.DecidePending(start.Add(confirmationDelay))
		checkAssessed(t, l, "the repeated request", repeated, "", Quarantined)
		checkAssessed(t, l, "another request with the part", identity("other", "shared:1"), "", Suspect)
		successor := NewLedger()
		records := l.RecordsOfIdentity(repeated, start)
		slices.Reverse(records)
		successor.Merge(records, start)
		checkAssessed(t, successor, "another request, at another instance", identity("other", "shared:1"), "", Suspect)
		if t.Failed() {
			return
		}
	}
}

// TestRequestOutlivesItsPart guards against a quarantined request that is cleared of its crashes because a part of its prompt
// has the same ones: all others with the part were refused, and once the part was cleared the request ran again.
func TestRequestOutlivesItsPart(t *testing.T) {
	bad := identity("bad", "shared:1")
	part := bad.partFingerprints()[0]
	for name, order := range map[string][][]serving.Fingerprint{
		"one exchange":       {{bad.Fingerprint, part}},
		"the part first":     {{part}, {bad.Fingerprint}},
		"the request first":  {{bad.Fingerprint}, {part}},
		"the part, twice":    {{part}, {bad.Fingerprint, part}},
		"the request, twice": {{bad.Fingerprint}, {part}, {bad.Fingerprint}},
	} {
		here, there := NewLedger(), NewLedger()
		for n := range QuarantineAfter {
			crashUnder(here, bad, n, n == QuarantineAfter-1)
			if n > 0 {
				there.Merge(here.RecordsOf(start, order[0]...), start)
			}
		}
		for _, fps := range order {
			there.Merge(here.RecordsOf(start, fps...), start)
			here.Merge(there.RecordsOf(start, fps...), start)
		}
		for at, l := range map[string]*Ledger{"here": here, "there": there} {
			checkAssessed(t, l, name+", the request, "+at, bad, "", Quarantined)
			checkAssessed(t, l, name+", another one with the part, "+at, identity("sound", "shared:1"), "", Suspect)
			l.RecordBegun(identity("sound", "shared:1"), "v1", start)
			checkAssessed(t, l, name+", the part cleared, "+at, identity("sound", "shared:1"), "", Clear)
			checkAssessed(t, l, name+", the request after that, "+at, bad, "", Quarantined)
		}
	}
}

// TestRequestBesidePartIsCleared guards against holding a request because of the servers that a quarantined part crashed.
func TestRequestBesidePartIsCleared(t *testing.T) {
	l := NewLedger()
	beside := identity("beside", "other:1")
	crashUnder(l, beside, 0, false)
	crashUnder(l, beside, 1, false)
	crashWithPart(l)
	if state := l.State(beside.Fingerprint); state != Clear {
		t.Errorf("a request without the part, on two of its servers: %s, want clear", state)
	}
}

// TestPartBesideQuarantinedRequest guards against quarantining a part because of crashes that a quarantined request explains, and
// of an isolated run beside a request that is not known yet (soak seed 117).
func TestPartBesideQuarantinedRequest(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("bad"), n, n == QuarantineAfter-1)
	}
	crashUnder(l, identity("sound-0", "shared:1"), 0, false)
	crashUnder(l, identity("sound-1", "shared:1"), 1, false)
	crashUnder(l, identity("sound-2", "shared:1"), 5, true)
	checkAssessed(t, l, "two of three crashes explained", identity("sound-3", "shared:1"), "", Suspect)
}

// TestPartBesideSuspectRequest guards against quarantining a part that many requests share because its isolated run was on a
// server with a request that crashes servers, and that had crashed too few to be known for it.
func TestPartBesideSuspectRequest(t *testing.T) {
	l, bad := NewLedger(), identity("bad", "other:1")
	crashUnder(l, identity("sound-0", "m:10"), 0, false)
	crashUnder(l, identity("sound-1", "m:10"), 1, false)
	crashUnder(l, bad, 1, false)
	crashUnder(l, bad, 2, false)
	crashUnder(l, identity("sound-1", "m:10"), 2, true)
	checkAssessed(t, l, "beside the request", identity("sound-2", "m:10"), "", Suspect)
	crashUnder(l, identity("sound-3", "m:10"), 3, true)
	checkAssessed(t, l, "alone", identity("sound-4", "m:10"), "", Quarantined)
}
