package access_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// The search goes through every order of a few steps, to a depth, of a holder that watches the
// store, an instance that hears from the holder, and a key that is taken away: calls to the
// store and reports to the holder begin, are carried out and are answered at any time, or never;
// the store tells its watch late or not at all while nothing is known to be wrong with it;
// time passes between any two. In each state a request with the key arrives at both.

var (
	searchStart  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	searchPolicy = access.Policy{FailClosed: true, Bound: 2 * time.Second}
)

// tick is what passes in one step of time: above half of the bound, so that two are too many.
const tick = 1200 * time.Millisecond

// call is a question that is under way.
type call struct {
	asked time.Time
	// answer is nil until the question has been carried out.
	answer *access.Word
}

// state is that of all, in values that are copied.
type state struct {
	now time.Time
	// accepted is the newest configuration's version, and revoked when that without the key
	// was acknowledged; zero before.
	accepted int64
	revoked  time.Time
	// version and asOf are what the holder (0) and the instance (1) know.
	version [2]int64
	asOf    [2]time.Time
	// call is under way from each: the holder's to the store, the instance's to the holder.
	call [2]*call
}

func searchConfig(t *testing.T, version int64) *serving.Config {
	t.Helper()
	c := &serving.Config{Version: version, Workspaces: []serving.Workspace{{Name: "w"}}}
	if version == 1 {
		c.Workspaces[0].Keys = []serving.KeyDigest{serving.DigestKey("k")}
	}
	if err := c.Index(); err != nil {
		t.Fatal(err)
	}
	return c
}

// dirOf returns a directory in the state of one of the two.
func (s *state) dirOf(who int, configs map[int64]*serving.Config) *directory.Directory {
	d := directory.New()
	d.ApplyConfig(configs[s.version[who]])
	d.Confirm(s.version[who], s.asOf[who])
	return d
}

// step is one thing that may happen; ok is false if it cannot now.
type step struct {
	name string
	do   func(s *state, configs map[int64]*serving.Config) (ok bool)
}

var steps = []step{
	{"time passes", func(s *state, _ map[int64]*serving.Config) bool {
		s.now = s.now.Add(tick)
		return true
	}},
	{"the key is taken away", func(s *state, _ map[int64]*serving.Config) bool {
		if s.accepted == 2 {
			return false
		}
		s.accepted, s.revoked = 2, s.now
		return true
	}},
	{"the holder asks the store", func(s *state, _ map[int64]*serving.Config) bool { return s.ask(0) }},
	{"the store answers", func(s *state, _ map[int64]*serving.Config) bool {
		return s.carryOut(0, access.Word{Version: s.accepted})
	}},
	{"the holder hears the store", func(s *state, configs map[int64]*serving.Config) bool { return s.hear(0, configs) }},
	{"the instance asks the holder", func(s *state, _ map[int64]*serving.Config) bool { return s.ask(1) }},
	{"the holder answers", func(s *state, configs map[int64]*serving.Config) bool {
		config, asOf := s.dirOf(0, configs).Current()
		return s.carryOut(1, access.Word{Version: config.Version, Age: s.now.Sub(asOf)})
	}},
	{"the instance hears the holder", func(s *state, configs map[int64]*serving.Config) bool { return s.hear(1, configs) }},
	{"a question is given up", func(s *state, _ map[int64]*serving.Config) bool {
		given := s.call[0] != nil || s.call[1] != nil
		s.call = [2]*call{}
		return given
	}},
	{"the instance reads the configuration", func(s *state, _ map[int64]*serving.Config) bool {
		if s.version[1] == s.accepted {
			return false
		}
		s.version[1], s.asOf[1] = s.accepted, s.now
		return true
	}},
}

func (s *state) ask(who int) bool {
	if s.call[who] != nil {
		return false
	}
	s.call[who] = &call{asked: s.now}
	return true
}

func (s *state) carryOut(who int, w access.Word) bool {
	if s.call[who] == nil || s.call[who].answer != nil {
		return false
	}
	s.call[who] = &call{asked: s.call[who].asked, answer: &w}
	return true
}

// hear takes an answer over. The holder is told of the configuration itself, the instance only
// of its version.
func (s *state) hear(who int, configs map[int64]*serving.Config) bool {
	c := s.call[who]
	if c == nil || c.answer == nil {
		return false
	}
	s.call[who] = nil
	if who == 0 {
		s.version[0] = max(s.version[0], c.answer.Version)
	}
	d := s.dirOf(who, configs)
	d.Confirm(c.answer.Version, c.answer.AsOf(c.asked))
	_, s.asOf[who] = d.Current()
	return true
}

// check has a request with the key arrive at both.
func (s *state) check(configs map[int64]*serving.Config) error {
	for who, name := range []string{"holder", "instance"} {
		config, asOf := s.dirOf(who, configs).Current()
		key := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey("k")}
		_, failure := access.Decide(config, &serving.Route{}, key, access.Knowledge{Age: s.now.Sub(asOf)}, searchPolicy)
		if over := s.now.Sub(s.revoked); failure == nil && s.accepted == 2 && over > searchPolicy.Bound {
			return fmt.Errorf("the %s lets the key work %s after it was taken away", name, over)
		}
	}
	return nil
}

// searchDepth is how many steps are searched: the shortest history in which the word of a newer
// configuration lets a key of the one in force work for too long has nine.
const searchDepth = 10

// TestRevocationSearch searches all histories of so many steps for one in which a key works for
// longer than the bound after it was taken away.
func TestRevocationSearch(t *testing.T) {
	configs := map[int64]*serving.Config{1: searchConfig(t, 1), 2: searchConfig(t, 2)}
	start := state{now: searchStart, accepted: 1, version: [2]int64{1, 1}, asOf: [2]time.Time{searchStart, searchStart}}
	seen, states, served := map[string]int{}, 0, 0
	var visit func(s state, path []string)
	visit = func(s state, path []string) {
		key := s.key()
		if left, known := seen[key]; known && left >= searchDepth-len(path) {
			return
		}
		seen[key] = searchDepth - len(path)
		states++
		if err := s.check(configs); err != nil {
			t.Fatalf("%v: %v", path, err)
		}
		if s.accepted == 2 && s.now.Sub(s.asOf[1]) <= searchPolicy.Trusted() {
			served++
		}
		if len(path) == searchDepth {
			return
		}
		for _, st := range steps {
			next := s
			if st.do(&next, configs) {
				visit(next, append(path[:len(path):len(path)], st.name))
			}
		}
	}
	visit(start, nil)
	t.Logf("%d states", states)
	if served == 0 {
		t.Error("nobody relies on keys after one was taken away: nothing was searched")
	}
}

func (s *state) key() string {
	text := fmt.Sprint(s.now.Sub(searchStart), s.accepted, s.now.Sub(s.revoked), s.version, s.now.Sub(s.asOf[0]), s.now.Sub(s.asOf[1]))
	for _, c := range s.call {
		if c == nil {
			text += " -"
			continue
		}
		text += fmt.Sprint(" ", s.now.Sub(c.asked))
		if c.answer != nil {
			text += fmt.Sprint(*c.answer)
		}
	}
	return text
}
