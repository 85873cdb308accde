package backpressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time the given number of milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// limitAdvisory returns an advisory with a limit, for a request sent and an answer read at the given
// times in milliseconds.
func limitAdvisory(rate float64, sent, received int) serving.Advisory {
	return serving.Advisory{Server: "e", Limited: true, Rate: rate, SentAt: at(sent), ReceivedAt: at(received)}
}

// noLimitAdvisory returns an advisory without a limit.
func noLimitAdvisory(sent, received int) serving.Advisory {
	return serving.Advisory{Server: "e", SentAt: at(sent), ReceivedAt: at(received)}
}

var server = serving.Server{ID: "e"}

// TestNewestLimitWins: a limit is changed and withdrawn only by answers that are certainly newer. Of
// answers that overtake each other, the stricter one applies.
func TestNewestLimitWins(t *testing.T) {
	for name, c := range map[string]struct {
		advisories []serving.Advisory
		rate       float64
		limited    bool
	}{
		"none":                             {advisories: []serving.Advisory{noLimitAdvisory(0, 5)}},
		"named":                            {advisories: []serving.Advisory{limitAdvisory(2, 0, 5)}, rate: 2, limited: true},
		"ended":                            {advisories: []serving.Advisory{limitAdvisory(2, 0, 5), noLimitAdvisory(6, 9)}},
		"raised":                           {advisories: []serving.Advisory{limitAdvisory(2, 0, 5), limitAdvisory(4, 6, 9)}, rate: 4, limited: true},
		"ended, then an old answer":        {advisories: []serving.Advisory{limitAdvisory(2, 0, 5), noLimitAdvisory(20, 25), limitAdvisory(2, 1, 15)}},
		"an answer from before it":         {advisories: []serving.Advisory{limitAdvisory(2, 3, 5), noLimitAdvisory(1, 9)}, rate: 2, limited: true},
		"confirmed, then one from between": {advisories: []serving.Advisory{limitAdvisory(2, 0, 5), limitAdvisory(2, 20, 25), noLimitAdvisory(10, 30)}, rate: 2, limited: true},
		"lowered by one from before":       {advisories: []serving.Advisory{limitAdvisory(4, 3, 5), limitAdvisory(2, 1, 9)}, rate: 2, limited: true},
		"nothing at all":                   {advisories: []serving.Advisory{limitAdvisory(0, 0, 5)}, limited: true},
		"not readable":                     {advisories: []serving.Advisory{limitAdvisory(2, 0, 5), {Server: "e", LimitUnknown: true, Unreadable: "x", SentAt: at(6), ReceivedAt: at(9)}}, rate: 2, limited: true},
	} {
		l := NewLedger()
		for _, a := range c.advisories {
			l.Observe(a, a.ReceivedAt)
		}
		if rate, limited := l.Limit(server); rate != c.rate || limited != c.limited {
			t.Errorf("%s: %v, %v, want %v, %v", name, rate, limited, c.rate, c.limited)
		}
	}
}

// TestAdvisoryAppliesToOneProcess guards against applying an advisory of one process to its successor
// with the same id.
func TestAdvisoryAppliesToOneProcess(t *testing.T) {
	l := NewLedger()
	first := limitAdvisory(2, 0, 5)
	first.Born, first.RetryAfter = 1, time.Minute
	l.Observe(first, at(5))
	restarted := serving.Server{ID: "e", Born: 2}
	if _, limited := l.Limit(restarted); limited || !l.RetryAfterUntil(restarted).IsZero() {
		t.Error("the advisory of a process applies to its successor")
	}
	next := limitAdvisory(3, 10, 15)
	next.Born = 2
	l.Observe(next, at(15))
	l.Observe(first, at(16))
	if rate, limited := l.Limit(restarted); !limited || rate != 3 {
		t.Errorf("rate %v, limited %v: want the limit of the later process", rate, limited)
	}
}

// TestLatestRetryAfterWins: of overlapping retry-after periods, the one that ends last applies.
func TestLatestRetryAfterWins(t *testing.T) {
	l := NewLedger()
	retryAfter := func(received int, d time.Duration) Change {
		return l.Observe(serving.Advisory{Server: "e", RetryAfter: d, SentAt: at(received - 1), ReceivedAt: at(received)}, at(received))
	}
	if c := retryAfter(100, 3*time.Second); !c.RetryAfter {
		t.Error("a retry-after period was not reported as a change")
	}
	retryAfter(200, time.Second)
	if until := l.RetryAfterUntil(server); until != at(3100) {
		t.Errorf("retry after %v, want the later end", until.Sub(epoch))
	}
	l.Observe(noLimitAdvisory(300, 400), at(400))
	if until := l.RetryAfterUntil(server); until != at(3100) {
		t.Errorf("retry after %v following an answer without a period, want the same as before", until.Sub(epoch))
	}
}

// TestConcurrentExchange: two instances exchange snapshots that may be late or lost. While all
// advisories have the same limit, neither instance assumes a different rate. Once the limit is
// withdrawn, both instances know within one exchange.
func TestConcurrentExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger{NewLedger(), NewLedger()}
		seen := []uint64{0, 0}
		now := 1000
		rate := 2.0
		observe := func(i int) {
			ledgers[i].Observe(limitAdvisory(rate, now-rapid.IntRange(1, 50).Draw(t, "way"), now), at(now))
		}
		send := func(from int) {
			list, revision := ledgers[from].Since(seen[from], at(now))
			now += rapid.IntRange(0, 100).Draw(t, "transit")
			if rapid.Bool().Draw(t, "lost") {
				return
			}
			ledgers[1-from].Merge(list, at(now))
			seen[from] = revision
		}
		observe(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "pause")
			if rapid.Bool().Draw(t, "hear") {
				observe(rapid.IntRange(0, 1).Draw(t, "who"))
			} else {
				send(rapid.IntRange(0, 1).Draw(t, "teller"))
			}
		}
		for i, l := range ledgers {
			if r, limited := l.Limit(server); limited && r != rate {
				t.Fatalf("instance %d has rate %v", i, r)
			}
		}
		// The limit is withdrawn. The instance that observes it informs the other one, whose advisory is older.
		now += 2 * int(Transit/time.Millisecond)
		ledgers[0].Observe(noLimitAdvisory(now-10, now), at(now))
		list, _ := ledgers[0].Since(0, at(now))
		now += 100
		ledgers[1].Merge(list, at(now))
		for i, l := range ledgers {
			if r, limited := l.Limit(server); limited {
				t.Fatalf("instance %d still has rate %v", i, r)
			}
		}
	})
}

// TestDelayedSnapshot guards against a snapshot that was in transit for long withdrawing a limit that
// was observed in the meantime, although by its age it appears to be newer.
func TestDelayedSnapshot(t *testing.T) {
	sender, l := NewLedger(), NewLedger()
	sender.Observe(limitAdvisory(2, 0, 5), at(5))
	sender.Observe(noLimitAdvisory(90, 95), at(95))
	list, _ := sender.Since(0, at(96))
	l.Observe(limitAdvisory(2, 195, 200), at(200))
	l.Merge(list, at(400))
	if _, limited := l.Limit(server); !limited {
		t.Error("the limit was withdrawn by an older answer")
	}
}

// TestWithdrawalIsReadvertised: other instances are informed repeatedly, for a while and by newer answers,
// that a limit was withdrawn. Guards against an instance that keeps a withdrawn limit because it
// received the limit so late that it could not tell that the first information on the withdrawal was
// newer.
func TestWithdrawalIsReadvertised(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	revision := uint64(0)
	send := func(ms int) int {
		list, current := l.Since(revision, at(ms))
		revision = current
		other.Merge(list, at(ms))
		return len(list)
	}
	l.Observe(limitAdvisory(2, 0, 5), at(5))
	send(900)
	other.Observe(limitAdvisory(2, 880, 900), at(900))
	l.Observe(noLimitAdvisory(950, 955), at(955))
	send(960)
	if _, limited := other.Limit(server); !limited {
		t.Fatal("the first snapshot withdrew the limit: the test does not cover the repetition")
	}
	sent := 0
	for ms := 1000; ms < 30000; ms += 100 {
		l.Observe(noLimitAdvisory(ms, ms+5), at(ms+5))
		sent += send(ms + 10)
	}
	if _, limited := other.Limit(server); limited {
		t.Error("the other instance still has the limit")
	}
	if sent < 5 || sent > 12 {
		t.Errorf("sent %d times in 30 s, want about once per second for 10 s", sent)
	}
}

// TestWithdrawalIsRelayed: the withdrawal of a limit reaches a third instance through the holder, although
// each receiver takes the advisory for older than it is.
func TestWithdrawalIsRelayed(t *testing.T) {
	ledgers := []*Ledger{NewLedger(), NewLedger(), NewLedger()} // the second is the holder's
	seen := map[[2]int]uint64{}
	send := func(from, to, ms int) {
		list, revision := ledgers[from].Since(seen[[2]int{from, to}], at(ms))
		seen[[2]int{from, to}] = revision
		ledgers[to].Merge(list, at(ms))
	}
	exchange := func(ms int) {
		for _, follower := range []int{0, 2} {
			send(follower, 1, ms)
			send(1, follower, ms)
		}
	}
	ledgers[0].Observe(limitAdvisory(2, 0, 5), at(5))
	exchange(100)
	exchange(200)
	for ms := 250; ms < 4000; ms += 100 {
		ledgers[0].Observe(noLimitAdvisory(ms, ms+5), at(ms+5))
		exchange(ms + 10)
	}
	for i, l := range ledgers {
		if _, limited := l.Limit(server); limited {
			t.Errorf("instance %d still has the limit", i)
		}
	}
	_, before := ledgers[1].Since(0, at(30000))
	exchange(30000)
	exchange(30100)
	if _, after := ledgers[1].Since(0, at(30200)); after != before {
		t.Error("the instances keep sending the withdrawal to each other")
	}
}

// TestAccountingContinuesAfterLimit: the sends to a server are accounted for by its last rate for a
// while after it has withdrawn its limit.
func TestAccountingContinuesAfterLimit(t *testing.T) {
	l := NewLedger()
	l.Observe(limitAdvisory(2, 0, 5), at(5))
	l.Observe(noLimitAdvisory(6, 9), at(9))
	if rate, ok := l.AccountingRate("e", at(1000)); !ok || rate != 2 {
		t.Errorf("%v, %v one second after the withdrawal, want 2", rate, ok)
	}
	if _, ok := l.AccountingRate("e", at(20000)); ok {
		t.Error("the accounting does not end")
	}
}
