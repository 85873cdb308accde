package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

// TestSharedPartRunsIsolatedWithUnknownPart guards against quarantining a part that many requests share because of an
// isolated run of a request with a part that crashes servers and is no suspect yet (soak seed 122).
func TestSharedPartRunsIsolatedWithUnknownPart(t *testing.T) {
	l := NewLedger()
	crashUnder(l, identity("sound-0", "shared:1"), 0, false)
	crashUnder(l, identity("sound-1", "shared:1"), 1, false)
	crashUnder(l, identity("bad", "shared:1", "bad:1"), 2, true)
	checkAssessed(t, l, "without the unknown part", identity("sound-2", "shared:1"), "", Suspect)
}

// TestSharedRequestBesideUnknownCause guards against quarantining a request that many clients send because its isolated run
// ended with a server that a part crashed which became a suspect later (soak seed 128).
func TestSharedRequestBesideUnknownCause(t *testing.T) {
	l := NewLedger()
	for n := range QuarantineAfter {
		crashUnder(l, identity("shared"), n, n == QuarantineAfter-1)
	}
	for n := 2; n < 6; n++ {
		crashUnder(l, identity("bad", "bad:1"), n, false)
	}
	checkAssessed(t, l, "the request", identity("shared"), "", Suspect)
}

// TestPartAfterRestartBesideUnknownPart guards against quarantining a part that many requests share at an instance that was
// restarted and does not know the other part of the request that ran isolated (soak seed 106).
func TestPartAfterRestartBesideUnknownPart(t *testing.T) {
	l := NewLedger()
	for n := range 2 {
		crashUnder(l, identity(fmt.Sprint("sound-", n), "shared:1"), n, false)
	}
	bad := identity("bad", "shared:1", "bad:1")
	l.RecordCrash(BrokenAttempt{Fingerprint: bad.Fingerprint, Server: server(2), PromptParts: bad.PromptParts, Isolated: true}, start)
	shared := Identity{PromptParts: []string{"shared:1", "own"}}
	restarted := NewLedger()
	restarted.Merge(l.RecordsOf(start, shared.partFingerprints()...), start)
	restarted.DecidePending(start.Add(confirmationDelay))
	checkAssessed(t, restarted, "after a restart", identity("sound-2", "shared:1"), "", Suspect)
}

// TestRequestAfterRestartBesideUnknownCause guards against quarantining a request that many clients send at an instance that was
// restarted and hears of the request that crashed all these servers only later (soak seed 133).
func TestRequestAfterRestartBesideUnknownCause(t *testing.T) {
	for _, cause := range []bool{false, true} {
		l := NewLedgerOfInstance(start.Add(-newLedgerTime / 2))
		for n := range QuarantineAfter {
			l.RecordCrash(BrokenAttempt{Fingerprint: "shared", Server: server(n), Isolated: n == QuarantineAfter-1}, start)
		}
		checkAssessed(t, l, "before others have reported", identity("shared"), "", Suspect)
		for n := 0; cause && n < QuarantineAfter; n++ {
			l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n)}, start)
		}
		l.DecidePending(start.Add(confirmationDelay))
		want := Quarantined
		if cause {
			want = Suspect
		}
		checkAssessed(t, l, fmt.Sprintf("another cause: %t", cause), identity("shared"), "", want)
	}
}

// TestIsolatedRunBesideSuspect guards against quarantining a request whose isolated run was on a server with another one that
// became a suspect too late to be kept away: the other one was cleared of its crashes, and ran again.
func TestIsolatedRunBesideSuspect(t *testing.T) {
	crash := func(l *Ledger, fp serving.Fingerprint, isolated bool, servers ...int) {
		for _, n := range servers {
			l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n), Isolated: isolated}, start)
		}
	}
	check := func(l *Ledger, what string, want map[serving.Fingerprint]State) {
		t.Helper()
		for fp, state := range want {
			if got := l.State(fp); got != state {
				t.Errorf("%s: %s is %s, want %s", what, fp, got, state)
			}
		}
	}
	decided := start.Add(confirmationDelay)
	begin := func() *Ledger { // two requests that look alike
		l := NewLedgerOfInstance(start)
		crash(l, "alone", false, 0, 1)
		crash(l, "alone", true, 2)
		crash(l, "beside", false, 1, 2)
		l.DecidePending(decided)
		check(l, "not known which", map[serving.Fingerprint]State{"alone": Suspect, "beside": Suspect})
		if l.HasPending(Identity{Fingerprint: "alone"}) {
			t.Error("the request must not run, and nothing decides")
		}
		return l
	}
	l := begin()
	crash(l, "beside", true, 3)
	l.DecidePending(decided.Add(confirmationDelay))
	check(l, "the other one crashes another server", map[serving.Fingerprint]State{"alone": Clear, "beside": Quarantined})
	l = begin()
	l.RecordAnswer("beside", decided)
	l.DecidePending(decided)
	check(l, "the other one is answered", map[serving.Fingerprint]State{"alone": Quarantined, "beside": Clear})
	l = begin()
	crash(l, "alone", true, 3)
	l.DecidePending(decided.Add(confirmationDelay))
	check(l, "it crashes another server", map[serving.Fingerprint]State{"alone": Quarantined, "beside": Clear})
}

// TestSuspectFollowedByResentRequests guards against a request that ends server after server in isolated runs because sound
// requests that are sent again after each crash run beside it: they are not its rivals forever.
func TestSuspectFollowedByResentRequests(t *testing.T) {
	l := NewLedgerOfInstance(start)
	crash := func(fp serving.Fingerprint, isolated bool, servers ...int) {
		for _, n := range servers {
			l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n), Isolated: isolated}, start)
		}
	}
	crash("bad", false, 0, 1)
	crash("first", false, 1, 2)
	crash("bad", true, 2)
	l.DecidePending(start.Add(confirmationDelay))
	if got := l.State("bad"); got != Suspect {
		t.Fatalf("%s after one isolated run beside another suspect, want suspect", got)
	}
	crash("second", false, 2, 3)
	crash("bad", true, 3)
	l.DecidePending(start.Add(2 * confirmationDelay))
	for fp, want := range map[serving.Fingerprint]State{"bad": Quarantined, "first": Clear, "second": Clear} {
		if got := l.State(fp); got != want {
			t.Errorf("%s is %s after two isolated runs, want %s", fp, got, want)
		}
	}
}

// TestTwinsStaySuspects guards against refusing one of two requests that were at the same crashes, without a run that told them
// apart.
func TestTwinsStaySuspects(t *testing.T) {
	l := NewLedgerOfInstance(start)
	for n := range 4 {
		l.RecordCrash(BrokenAttempt{Fingerprint: "twin", Server: server(n)}, start)
		l.RecordCrash(BrokenAttempt{Fingerprint: "other", Server: server(n), Isolated: n > 1}, start)
	}
	l.DecidePending(start.Add(confirmationDelay))
	for _, fp := range []serving.Fingerprint{"twin", "other"} {
		if got := l.State(fp); got != Suspect {
			t.Errorf("%s is %s, want suspect", fp, got)
		}
	}
}

// TestIsolatedRunsAreBounded guards against a request that ends a server in each isolated run and is never refused, since
// others that cannot be told apart from it were always there, too.
func TestIsolatedRunsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedgerOfInstance(start)
		beside := []serving.Fingerprint{"a", "b", "c"}
		now, isolatedRuns := start, 0
		for n := 0; l.State("bad") != Quarantined; n++ {
			isolated := l.State("bad") == Suspect
			if isolated {
				isolatedRuns++
			}
			if isolatedRuns > QuarantineAfterIsolated {
				t.Fatalf("isolated run %d, and still a suspect", isolatedRuns)
			}
			for _, fp := range beside {
				if rapid.Bool().Draw(t, "beside") {
					l.RecordCrash(BrokenAttempt{Fingerprint: fp, Server: server(n)}, now)
				}
			}
			l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n), Isolated: isolated}, now)
			now = now.Add(confirmationDelay)
			l.DecidePending(now)
		}
	})
}

// TestSuspectOutlivesPartOfOthers guards against a request that is free to run on all servers at once again, since a part of
// other prompts is quarantined that ran at its first crashes, though its isolated run ended another server.
func TestSuspectOutlivesPartOfOthers(t *testing.T) {
	l := NewLedger()
	for n := range 2 {
		l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n)}, start)
	}
	l.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(1)}, start)
	l.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(9)}, start)
	l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(9), Isolated: true}, start)
	l.DecidePending(start.Add(confirmationDelay))
	crashWithPart(l) // servers 0 to 2
	checkAssessed(t, l, "the part", identity("next", "p:10"), "", Quarantined)
	checkAssessed(t, l, "the request", identity("bad"), "", Suspect)
	l.RecordAnswer("bad", start)
	checkAssessed(t, l, "the request, answered", identity("bad"), "", Clear)
}

// TestRequestBesideItsFollower guards against a request that ends one more server, seconds after the third, since a sound request
// that was sent again to the server of its isolated run is taken for a rival.
func TestRequestBesideItsFollower(t *testing.T) {
	for name, c := range map[string]struct {
		beside []int
		want   State
	}{
		"follows": {[]int{2, 3}, Quarantined}, "also at another end": {[]int{9, 3}, Suspect}, "at most of the ends": {[]int{1, 2, 3}, Suspect},
	} {
		l := NewLedgerOfInstance(start)
		for n := range 3 {
			l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n)}, start)
		}
		for _, n := range c.beside {
			l.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(n)}, start)
		}
		l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(3), Isolated: true}, start)
		l.DecidePending(start.Add(confirmationDelay))
		if got := l.State("bad"); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestPendingCrashAfterRestartBesideUnknownCause guards against quarantining a request that many clients send by the end of an
// isolated run that is decided after all instances were restarted: what else ran there is not known any more (soak seed 112).
func TestPendingCrashAfterRestartBesideUnknownCause(t *testing.T) {
	l := NewLedgerOfInstance(start.Add(-newLedgerTime / 2))
	for n := range QuarantineAfter {
		l.RecordCrash(BrokenAttempt{Fingerprint: "shared", Server: server(n), Isolated: n == QuarantineAfter-1}, start)
	}
	l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(QuarantineAfter - 1)}, start)
	restarted := NewLedgerOfInstance(start.Add(time.Second))
	restarted.Merge(l.RecordsOf(start.Add(time.Second), "shared"), start.Add(time.Second)) // what the store has
	restarted.DecidePending(start.Add(confirmationDelay))
	checkAssessed(t, restarted, "after a restart", identity("shared"), "", Suspect)
}

// TestCrashKnownToOldInstanceOutlastsRestarts guards against a request that ends one more server since all instances restarted
// before a crash was decided, though the one that recorded it knew what else ran there.
func TestCrashKnownToOldInstanceOutlastsRestarts(t *testing.T) {
	for since, want := range map[time.Duration]State{newLedgerTime - time.Millisecond: Suspect, newLedgerTime: Quarantined} {
		l, later := NewLedgerOfInstance(start.Add(-since)), NewLedgerOfInstance(start.Add(time.Second))
		for n := range QuarantineAfter {
			l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n)}, start)
			l.RecordCrash(BrokenAttempt{Fingerprint: "beside", Server: server(n)}, start)
		}
		l.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(QuarantineAfter), Isolated: true}, start)
		later.Merge(l.RecordsOf(start.Add(time.Second), "bad", "beside"), start.Add(time.Second))
		later.DecidePending(start.Add(confirmationDelay))
		checkAssessed(t, later, "recorded "+since.String()+" after a start", identity("bad"), "", want)
	}
}

// TestForgottenCrashIsLeftToOthers guards against a request that runs again at an instance that has just started while an older
// one, which knows what else ran there, is about to decide.
func TestForgottenCrashIsLeftToOthers(t *testing.T) {
	older, newer, now := NewLedgerOfInstance(start.Add(-newLedgerTime/2)), NewLedgerOfInstance(start.Add(time.Second)), start.Add(time.Second)
	for n := range QuarantineAfter {
		older.RecordCrash(BrokenAttempt{Fingerprint: "bad", Server: server(n), Isolated: n == QuarantineAfter-1}, start)
	}
	newer.Merge(older.RecordsOf(now, "bad"), now)
	alone := NewLedgerOfInstance(now)
	alone.Merge(older.RecordsOf(now, "bad"), now)
	for _, l := range []*Ledger{older, newer, alone} {
		l.DecidePending(start.Add(confirmationDelay))
	}
	if !newer.HasPending(Identity{Fingerprint: "bad"}) {
		t.Error("the request may run before the older instance's decision has arrived")
	}
	newer.Merge(older.RecordsOf(start.Add(confirmationDelay), "bad"), start.Add(confirmationDelay))
	checkAssessed(t, newer, "decided by the older instance", identity("bad"), "", Quarantined)
	_, _, undecided := alone.DecidePending(start.Add(forgottenDelay))
	if len(undecided) != 1 || len(undecided[0].Rivals) != 0 || alone.HasPending(Identity{Fingerprint: "bad"}) {
		t.Errorf("undecided %+v; want one crash, and that the request may run", undecided)
	}
}
