package backpressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/martenport/martenport/serving"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// named is a word that names a limit, in answer to a request sent and read at times.
func named(rate float64, sent, heard int) serving.Advisory {
	return serving.Advisory{Server: "e", Limited: true, Rate: rate, Sent: at(sent), Heard: at(heard)}
}

// silent is a word that names none.
func silent(sent, heard int) serving.Advisory {
	return serving.Advisory{Server: "e", Sent: at(sent), Heard: at(heard)}
}

var server = serving.Server{ID: "e"}

// TestNewestLimitCounts: a limit changes and ends with answers that are certainly newer, and of
// those that overtake each other the stricter counts.
func TestNewestLimitCounts(t *testing.T) {
	for name, c := range map[string]struct {
		words   []serving.Advisory
		rate    float64
		limited bool
	}{
		"none":                             {words: []serving.Advisory{silent(0, 5)}},
		"named":                            {words: []serving.Advisory{named(2, 0, 5)}, rate: 2, limited: true},
		"ended":                            {words: []serving.Advisory{named(2, 0, 5), silent(6, 9)}},
		"raised":                           {words: []serving.Advisory{named(2, 0, 5), named(4, 6, 9)}, rate: 4, limited: true},
		"ended, then an old answer":        {words: []serving.Advisory{named(2, 0, 5), silent(20, 25), named(2, 1, 15)}},
		"an answer from before it":         {words: []serving.Advisory{named(2, 3, 5), silent(1, 9)}, rate: 2, limited: true},
		"confirmed, then one from between": {words: []serving.Advisory{named(2, 0, 5), named(2, 20, 25), silent(10, 30)}, rate: 2, limited: true},
		"lowered by one from before":       {words: []serving.Advisory{named(4, 3, 5), named(2, 1, 9)}, rate: 2, limited: true},
		"nothing at all":                   {words: []serving.Advisory{named(0, 0, 5)}, limited: true},
		"not readable":                     {words: []serving.Advisory{named(2, 0, 5), {Server: "e", LimitUnknown: true, Unreadable: "x", Sent: at(6), Heard: at(9)}}, rate: 2, limited: true},
	} {
		l := NewLedger()
		for _, w := range c.words {
			l.Observe(w, w.Heard)
		}
		if rate, limited := l.Limit(server); rate != c.rate || limited != c.limited {
			t.Errorf("%s: %v, %v, want %v, %v", name, rate, limited, c.rate, c.limited)
		}
	}
}

// TestWordIsOfOneProcess: nothing of what a process said holds for another under its id.
func TestWordIsOfOneProcess(t *testing.T) {
	l := NewLedger()
	w := named(2, 0, 5)
	w.Born, w.RetryAfter = 1, time.Minute
	l.Observe(w, at(5))
	reborn := serving.Server{ID: "e", Born: 2}
	if _, limited := l.Limit(reborn); limited || !l.RetryAfterUntil(reborn).IsZero() {
		t.Error("the word of a process holds for the one after it")
	}
	next := named(3, 10, 15)
	next.Born = 2
	l.Observe(next, at(15))
	l.Observe(w, at(16))
	if rate, limited := l.Limit(reborn); !limited || rate != 3 {
		t.Errorf("%v, %v: want what the later process says", rate, limited)
	}
}

// TestLongestRestCounts: of rests that overlap the one that ends last counts.
func TestLongestRestCounts(t *testing.T) {
	l := NewLedger()
	rest := func(heard int, d time.Duration) Change {
		return l.Observe(serving.Advisory{Server: "e", RetryAfter: d, Sent: at(heard - 1), Heard: at(heard)}, at(heard))
	}
	if c := rest(100, 3*time.Second); !c.RetryAfter {
		t.Error("a rest is no change")
	}
	rest(200, time.Second)
	if until := l.RetryAfterUntil(server); until != at(3100) {
		t.Errorf("rests until %v, want the later end", until.Sub(epoch))
	}
	l.Observe(silent(300, 400), at(400))
	if until := l.RetryAfterUntil(server); until != at(3100) {
		t.Errorf("rests until %v after an answer that asks for none, want as before", until.Sub(epoch))
	}
}

// TestToldWhileItChanges: two instances that tell each other what they hear, late and lossy,
// never believe in more than the engine says while all that they hear names a limit, and both
// know within an exchange that there is none any more.
func TestToldWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger{NewLedger(), NewLedger()}
		seen := []uint64{0, 0}
		now := 1000
		rate := 2.0
		hear := func(i int) {
			ledgers[i].Observe(named(rate, now-rapid.IntRange(1, 50).Draw(t, "way"), now), at(now))
		}
		tell := func(from int) {
			list, upTo := ledgers[from].Since(seen[from], at(now))
			now += rapid.IntRange(0, 100).Draw(t, "transit")
			if rapid.Bool().Draw(t, "lost") {
				return
			}
			ledgers[1-from].Take(list, at(now))
			seen[from] = upTo
		}
		hear(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += rapid.IntRange(1, 200).Draw(t, "pause")
			if rapid.Bool().Draw(t, "hear") {
				hear(rapid.IntRange(0, 1).Draw(t, "who"))
			} else {
				tell(rapid.IntRange(0, 1).Draw(t, "teller"))
			}
		}
		for i, l := range ledgers {
			if r, limited := l.Limit(server); limited && r != rate {
				t.Fatalf("instance %d believes in %v", i, r)
			}
		}
		// It ends. Whoever hears that tells the other, who believes it if its own word is older.
		now += 2 * int(Transit/time.Millisecond)
		ledgers[0].Observe(silent(now-10, now), at(now))
		list, _ := ledgers[0].Since(0, at(now))
		now += 100
		ledgers[1].Take(list, at(now))
		for i, l := range ledgers {
			if r, limited := l.Limit(server); limited {
				t.Fatalf("instance %d still believes in %v", i, r)
			}
		}
	})
}

// TestToldLate: what another instance tells was perhaps on its way for long. It does not end a limit
// that was heard of meanwhile, though its age says that it is newer.
func TestToldLate(t *testing.T) {
	teller, l := NewLedger(), NewLedger()
	teller.Observe(named(2, 0, 5), at(5))
	teller.Observe(silent(90, 95), at(95))
	list, _ := teller.Since(0, at(96))
	l.Observe(named(2, 195, 200), at(200))
	l.Take(list, at(400))
	if _, limited := l.Limit(server); !limited {
		t.Error("a limit ended by an answer from before it")
	}
}

// TestEndIsRepeated: others are told again that a limit is over, by newer answers, for a while. They
// may have heard so late of the limit that the first word of its end was not certainly newer.
func TestEndIsRepeated(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	change := uint64(0)
	tell := func(ms int) int {
		list, upTo := l.Since(change, at(ms))
		change = upTo
		other.Take(list, at(ms))
		return len(list)
	}
	l.Observe(named(2, 0, 5), at(5))
	tell(900)
	other.Observe(named(2, 880, 900), at(900))
	l.Observe(silent(950, 955), at(955))
	tell(960)
	if _, limited := other.Limit(server); !limited {
		t.Fatal("the end was not doubtful: the test tries nothing")
	}
	told := 0
	for ms := 1000; ms < 30000; ms += 100 {
		l.Observe(silent(ms, ms+5), at(ms+5))
		told += tell(ms + 10)
	}
	if _, limited := other.Limit(server); limited {
		t.Error("the end was not heard of")
	}
	if told < 5 || told > 12 {
		t.Errorf("told %d times in half a minute, want about once a second for ten", told)
	}
}

// TestEndIsRelayed: the end of a limit goes from one instance over the holder to a third, each of which
// takes the word for older than it is.
func TestEndIsRelayed(t *testing.T) {
	ledgers := []*Ledger{NewLedger(), NewLedger(), NewLedger()} // the second is the holder's
	seen := map[[2]int]uint64{}
	tell := func(from, to, ms int) {
		list, upTo := ledgers[from].Since(seen[[2]int{from, to}], at(ms))
		seen[[2]int{from, to}] = upTo
		ledgers[to].Take(list, at(ms))
	}
	exchange := func(ms int) {
		for _, follower := range []int{0, 2} {
			tell(follower, 1, ms)
			tell(1, follower, ms)
		}
	}
	ledgers[0].Observe(named(2, 0, 5), at(5))
	exchange(100)
	exchange(200)
	for ms := 250; ms < 4000; ms += 100 {
		ledgers[0].Observe(silent(ms, ms+5), at(ms+5))
		exchange(ms + 10)
	}
	for i, l := range ledgers {
		if _, limited := l.Limit(server); limited {
			t.Errorf("instance %d has not heard of the end", i)
		}
	}
	_, before := ledgers[1].Since(0, at(30000))
	exchange(30000)
	exchange(30100)
	if _, after := ledgers[1].Since(0, at(30200)); after != before {
		t.Error("they go on telling each other")
	}
}

// TestAccountGoesOn: what a server got is accounted for a while after it has ceased to name a
// limit, by the rate that it named.
func TestAccountGoesOn(t *testing.T) {
	l := NewLedger()
	l.Observe(named(2, 0, 5), at(5))
	l.Observe(silent(6, 9), at(9))
	if rate, ok := l.Account("e", at(1000)); !ok || rate != 2 {
		t.Errorf("%v, %v a second after the end, want 2", rate, ok)
	}
	if _, ok := l.Account("e", at(20000)); ok {
		t.Error("the account goes on for ever")
	}
}
