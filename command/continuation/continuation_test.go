package continuation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

var start = time.Unix(1000, 0)

// TestRandomWalk: in every order of events, at most one engine works on a stream, it goes on only at
// its backup engine and only once the engine before has stopped or is unreachable, never more often
// than allowed and never too late, and each broken stream ends within a bounded time.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultParams()
		s, now, working, continued := New(p), start, "", 0
		engines := rapid.SampledFrom([]string{"a", "b", "c", ""})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			engine, backup := engines.Draw(t, "engine"), engines.Draw(t, "backup")
			before, state := s.Backup(), s.State()
			if s.Sent(engine, backup) {
				switch {
				case working != "":
					t.Fatalf("sent to %q while %q works on it", engine, working)
				case state != 0 && (state != Continuing || engine != before || engine == ""):
					t.Fatalf("sent to %q in state %d, backup %q", engine, state, before)
				}
				if state == Continuing {
					continued++
				}
				working = engine
			}
			if s.State() != Running || !rapid.Bool().Draw(t, "breaks") {
				continue
			}
			giveUp := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond)
			stopsAfter := rapid.IntRange(0, 12).Draw(t, "stops after checks")
			reachable := rapid.Bool().Draw(t, "reachable")
			firstEvent := now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "runs for")) * time.Millisecond)
			s.Broke(now, firstEvent, giveUp)
			broke, stopped := now, false
			for steps := 0; s.State() == Broken; steps++ {
				if steps > 100 {
					t.Fatalf("no end %v after the stream broke off", now.Sub(broke))
				}
				switch s.Next(now) {
				case Check:
					switch {
					case !reachable:
						now = now.Add(100 * time.Millisecond)
						s.Checked(serving.RunUnknown, now)
					case stopsAfter == 0:
						stopped = true
						s.Checked(rapid.SampledFrom([]serving.RunState{serving.RunGone, serving.RunNotListed}).Draw(t, "stopped"), now)
					default:
						stopsAfter--
						s.Checked(serving.RunActive, now)
					}
				case Pause:
					now = now.Add(p.CheckPause)
				case Continue:
					switch {
					case reachable && !stopped:
						t.Fatal("goes on while the engine before works on it")
					case reachable && s.run == serving.RunNotListed && now.Sub(firstEvent) < p.MaxListAge:
						t.Fatal("goes on while the engine before works on it")
					case !reachable && now.Sub(broke) < p.UnreachableAfter:
						t.Fatal("engine counts as gone too soon")
					case !now.Before(giveUp):
						t.Fatal("goes on too late")
					case s.Backup() == "":
						t.Fatal("goes on without a backup")
					}
					working = ""
				case Stop:
					working = ""
				}
			}
			if now.Sub(broke) > 2*time.Second {
				t.Fatalf("took %v to decide", now.Sub(broke))
			}
		}
		if continued > p.MaxContinuations {
			t.Fatalf("went on %d times", continued)
		}
	})
}

// next returns the action for a stream with a backup that broke off at start, after the given checks
// with pauses between them.
func next(t *testing.T, giveUp time.Time, now time.Time, checks ...serving.RunState) (Action, *Stream) {
	t.Helper()
	s := New(DefaultParams())
	s.Sent("a", "b")
	s.Broke(start, start.Add(-time.Second), giveUp)
	for _, run := range checks {
		if got := s.Next(start); got != Check {
			t.Fatalf("action %d before a check", got)
		}
		s.Checked(run, start)
		s.paused = true
	}
	return s.Next(now), s
}

// TestNext: when a broken stream goes on, waits or ends.
func TestNext(t *testing.T) {
	late := start.Add(time.Minute)
	active := make([]serving.RunState, DefaultParams().MaxChecks)
	for i := range active {
		active[i] = serving.RunActive
	}
	tests := map[string]struct {
		giveUp  time.Time
		after   time.Duration
		checks  []serving.RunState
		action  Action
		outcome Outcome
	}{
		"not checked":                {late, 0, nil, Check, ""},
		"stopped":                    {late, 0, []serving.RunState{serving.RunNotListed}, Continue, Continued},
		"gone":                       {late, 0, []serving.RunState{serving.RunGone}, Continue, Continued},
		"works on":                   {late, 0, []serving.RunState{serving.RunActive}, Check, ""},
		"works on and on":            {late, time.Second, active, Stop, StillRunning},
		"stops later":                {late, 0, []serving.RunState{serving.RunActive, serving.RunNotListed}, Continue, Continued},
		"unreachable":                {late, 0, []serving.RunState{serving.RunUnknown}, Check, ""},
		"unreachable for long":       {late, time.Second, []serving.RunState{serving.RunUnknown}, Continue, Continued},
		"works on, then unreachable": {late, time.Second, []serving.RunState{serving.RunActive, serving.RunUnknown}, Continue, Continued},
		"client has left":            {start, 0, nil, Stop, TooLate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			action, s := next(t, test.giveUp, start.Add(test.after), test.checks...)
			if action != test.action || s.Outcome() != test.outcome {
				t.Errorf("action %d, outcome %q; want %d, %q", action, s.Outcome(), test.action, test.outcome)
			}
		})
	}
}

// TestSecondLoss: a stream goes on a bounded number of times, and not without a backup.
func TestSecondLoss(t *testing.T) {
	s := New(DefaultParams())
	engines := []string{"a", "b", "c", "d", "e"}
	for i := range DefaultParams().MaxContinuations {
		s.Sent(engines[i], engines[i+1])
		s.Broke(start, time.Time{}, start.Add(time.Minute))
		s.Next(start)
		s.Checked(serving.RunGone, start)
		if got := s.Next(start); got != Continue {
			t.Fatalf("loss %d: action %d", i, got)
		}
	}
	s.Sent("c", "d")
	s.Broke(start, time.Time{}, start.Add(time.Minute))
	if got := s.Next(start); got != Stop || s.Outcome() != TooMany {
		t.Errorf("action %d, %q after the last continuation", got, s.Outcome())
	}
	s = New(DefaultParams())
	s.Sent("a", "")
	s.Broke(start, time.Time{}, start.Add(time.Minute))
	if got := s.Next(start); got != Stop || s.Outcome() != NoBackup {
		t.Errorf("action %d, %q without a backup", got, s.Outcome())
	}
}

// TestLedger: where backups are kept, and how many.
func TestLedger(t *testing.T) {
	l := NewLedger(Limits{PerTarget: 1, Total: 2})
	targets := []Target{
		{ID: "a", FailureDomain: "x"}, {ID: "full", FailureDomain: "y", Running: 8, Slots: 8},
		{ID: "b", FailureDomain: "x", Running: 1, Slots: 8}, {ID: "c", FailureDomain: "y", Running: 7, Slots: 8},
	}
	if got := l.Reserve("a", "x", targets); got != "c" {
		t.Errorf("backup at %q, want the other failure domain", got)
	}
	if got := l.Reserve("a", "x", targets); got != "b" {
		t.Errorf("backup at %q, want the engine with room", got)
	}
	if got := l.Reserve("d", "x", targets); got != "" || l.InUse() != 2 {
		t.Errorf("backup at %q beyond the total, %d in use", got, l.InUse())
	}
	l.Release("c")
	l.Release("c")
	l.Release("never")
	if got := l.Reserve("a", "x", targets); got != "c" || l.InUse() != 2 {
		t.Errorf("backup at %q after a release, %d in use", got, l.InUse())
	}
	if got := NewLedger(DefaultLimits()).Reserve("a", "x", targets[:2]); got != "" {
		t.Errorf("backup at %q, want none", got)
	}
}

// TestOldList: an engine's list of its runs proves nothing about a run that may have begun after it
// was made, or that may still wait in the engine's queue: the stream would run at two engines.
func TestOldList(t *testing.T) {
	for name, firstEvent := range map[string]time.Time{
		"no event": {}, "just begun": start.Add(-20 * time.Millisecond), "begun some hundred milliseconds ago": start.Add(-450 * time.Millisecond),
	} {
		s := New(DefaultParams())
		s.Sent("a", "b")
		s.Broke(start, firstEvent, start.Add(time.Minute))
		s.Next(start)
		s.Checked(serving.RunNotListed, start)
		if got := s.Next(start); got != Pause {
			t.Errorf("%s: action %d", name, got)
		}
	}
}

// TestSilenceCountsFromLastAnswer guards against a stream that goes on since its engine, which answered a moment before that it
// works on it, gives no answer once.
func TestSilenceCountsFromLastAnswer(t *testing.T) {
	s, p := New(DefaultParams()), DefaultParams()
	s.Sent("a", "b")
	s.Broke(start, start.Add(-time.Second), start.Add(time.Minute))
	answered := start.Add(p.UnreachableAfter - p.CheckPause)
	s.Next(start)
	s.Checked(serving.RunActive, answered)
	s.Next(answered)
	for now := answered; now.Before(answered.Add(p.UnreachableAfter)); now = now.Add(p.CheckPause) {
		s.Checked(serving.RunUnknown, now)
		if got := s.Next(now); got == Continue {
			t.Fatalf("goes on after %s without an answer, want %s", now.Sub(answered), p.UnreachableAfter)
		}
		s.Next(now)
	}
	if got := s.Next(answered.Add(p.UnreachableAfter)); got != Continue {
		t.Errorf("action %d after %s without an answer", got, p.UnreachableAfter)
	}
}
