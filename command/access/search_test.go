package access_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
	"github.com/martenport/martenport/verdict"
)

// The search visits every sequence of a few steps, up to a given depth, of a holder that watches
// the store, an instance that receives reports from the holder, and a key that is removed. Calls to
// the store and to the holder are sent, executed and answered at any time, or never; the store
// notifies its watch late or not at all while no fault is detected; time may pass between any two
// steps. In each state a request with the key, and one for a route that the later configuration adds,
// arrive at both the holder and the instance.

var (
	searchStart  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	searchPolicy = access.Policy{FailClosed: true, Bound: 2 * time.Second, PropagationBound: 2 * time.Second}
)

// timeStep is the duration of one step of time: three steps exceed the bound, and one is within
// store.MaxWatchDelay.
const timeStep = 800 * time.Millisecond

// call is a call in progress.
type call struct {
	sentAt time.Time
	// answer is nil until the call has been executed.
	answer *access.ConfigStatus
}

// state is the state of the whole simulation, made of values that are copied.
type state struct {
	now time.Time
	// accepted is the version of the newest configuration, and revoked the time at which the
	// configuration without the key was acknowledged; zero before.
	accepted int64
	revoked  time.Time
	// version and confirmedAt are the version known to the holder (0) and the instance (1), and
	// when it was last certain that there was no newer one.
	version     [2]int64
	confirmedAt [2]time.Time
	// calls are the calls in progress: from the holder to the store and from the instance to the
	// holder.
	calls [2]*call
}

// searchConfig returns a configuration; only version 1 has the key.
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

// directoryOf returns a directory in the state of a node, the holder or the instance.
func (s *state) directoryOf(node int, configs map[int64]*serving.Config) *directory.Directory {
	d := directory.New()
	d.ApplyConfig(configs[s.version[node]])
	d.Confirm(s.version[node], s.confirmedAt[node])
	return d
}

// step is one event that may happen; ok is false if it is not possible in the present state.
type step struct {
	name string
	do   func(s *state, configs map[int64]*serving.Config) (ok bool)
}

// steps are all events of the simulation.
var steps = []step{
	{"time passes", func(s *state, _ map[int64]*serving.Config) bool {
		s.now = s.now.Add(timeStep)
		return true
	}},
	{"the key is taken away", func(s *state, _ map[int64]*serving.Config) bool {
		if s.accepted == 2 {
			return false
		}
		s.accepted, s.revoked = 2, s.now
		return true
	}},
	{"the holder asks the store", func(s *state, _ map[int64]*serving.Config) bool { return s.send(0) }},
	{"the store answers", func(s *state, _ map[int64]*serving.Config) bool {
		return s.execute(0, access.ConfigStatus{Version: s.accepted})
	}},
	{"the holder hears the store", func(s *state, configs map[int64]*serving.Config) bool { return s.receive(0, configs) }},
	{"the holder's watch ends without an event", func(s *state, configs map[int64]*serving.Config) bool {
		if s.accepted == 2 && (s.version[0] == 2 || s.now.Sub(s.revoked) > store.MaxWatchDelay) {
			return false
		}
		d := s.directoryOf(0, configs)
		d.Confirm(s.version[0], s.now)
		_, s.confirmedAt[0] = d.Current()
		return true
	}},
	{"the instance asks the holder", func(s *state, _ map[int64]*serving.Config) bool { return s.send(1) }},
	{"the holder answers", func(s *state, configs map[int64]*serving.Config) bool {
		config, confirmedAt := s.directoryOf(0, configs).Current()
		return s.execute(1, access.ConfigStatus{Version: config.Version, Age: s.now.Sub(confirmedAt)})
	}},
	{"the instance hears the holder", func(s *state, configs map[int64]*serving.Config) bool { return s.receive(1, configs) }},
	{"a question is given up", func(s *state, _ map[int64]*serving.Config) bool {
		anyCall := s.calls[0] != nil || s.calls[1] != nil
		s.calls = [2]*call{}
		return anyCall
	}},
	{"the instance reads the configuration", func(s *state, _ map[int64]*serving.Config) bool {
		if s.version[1] == s.accepted {
			return false
		}
		s.version[1], s.confirmedAt[1] = s.accepted, s.now
		return true
	}},
}

// send sends a call from a node unless it has a call in progress.
func (s *state) send(node int) bool {
	if s.calls[node] != nil {
		return false
	}
	s.calls[node] = &call{sentAt: s.now}
	return true
}

// execute executes the call of a node, with the given result.
func (s *state) execute(node int, status access.ConfigStatus) bool {
	if s.calls[node] == nil || s.calls[node].answer != nil {
		return false
	}
	s.calls[node] = &call{sentAt: s.calls[node].sentAt, answer: &status}
	return true
}

// receive applies an answer. The holder receives the configuration itself, the instance only its
// version.
func (s *state) receive(node int, configs map[int64]*serving.Config) bool {
	c := s.calls[node]
	if c == nil || c.answer == nil {
		return false
	}
	s.calls[node] = nil
	if node == 0 {
		s.version[0] = max(s.version[0], c.answer.Version)
	}
	d := s.directoryOf(node, configs)
	d.Confirm(c.answer.Version, c.answer.ConfirmedAt(c.sentAt))
	_, s.confirmedAt[node] = d.Current()
	return true
}

// check tests a request with the key and one for the new route at both nodes.
func (s *state) check(configs map[int64]*serving.Config) error {
	for node, name := range []string{"holder", "instance"} {
		config, confirmedAt := s.directoryOf(node, configs).Current()
		key := serving.Credential{Form: serving.KeyGiven, Digest: serving.DigestKey("k")}
		freshness, over := access.Freshness{Age: s.now.Sub(confirmedAt)}, s.now.Sub(s.revoked)
		_, failure := access.Authorize(config, &serving.Route{}, key, freshness, searchPolicy)
		if failure == nil && s.accepted == 2 && over > searchPolicy.Bound {
			return fmt.Errorf("the %s accepts the key %s after its removal", name, over)
		}
		missing := access.NoRoute(config, &serving.Request{}, freshness, searchPolicy)
		if missing.Reason == verdict.ReasonNoRoute && s.version[node] == 1 && s.accepted == 2 && over > searchPolicy.PropagationBound {
			return fmt.Errorf("the %s refuses a route for good %s after it was added", name, over)
		}
	}
	return nil
}

// searchDepth is the length of the sequences searched. The shortest sequence in which a report of a
// newer configuration extends the use of a key of the old configuration beyond the bound has ten
// steps.
const searchDepth = 11

// TestRevocationSearch searches all sequences of up to searchDepth steps for one in which a key
// works for longer than the bound after its removal, or a route is refused for good after the bound.
func TestRevocationSearch(t *testing.T) {
	configs := map[int64]*serving.Config{1: searchConfig(t, 1), 2: searchConfig(t, 2)}
	start := state{now: searchStart, accepted: 1, version: [2]int64{1, 1}, confirmedAt: [2]time.Time{searchStart, searchStart}}
	seen, states, relying := map[string]int{}, 0, 0
	var visit func(s state, path []string)
	visit = func(s state, path []string) {
		key := s.fingerprint()
		if depth, known := seen[key]; known && depth >= searchDepth-len(path) {
			return
		}
		seen[key] = searchDepth - len(path)
		states++
		if err := s.check(configs); err != nil {
			t.Fatalf("%v: %v", path, err)
		}
		if s.accepted == 2 && s.now.Sub(s.confirmedAt[1]) <= searchPolicy.MaxAge() {
			relying++
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
	if relying == 0 {
		t.Error("no instance relies on keys after one was removed: the search is void")
	}
}

// fingerprint returns a string that is equal for equal states.
func (s *state) fingerprint() string {
	text := fmt.Sprint(s.now.Sub(searchStart), s.accepted, s.now.Sub(s.revoked), s.version, s.now.Sub(s.confirmedAt[0]), s.now.Sub(s.confirmedAt[1]))
	for _, c := range s.calls {
		if c == nil {
			text += " -"
			continue
		}
		text += fmt.Sprint(" ", s.now.Sub(c.sentAt))
		if c.answer != nil {
			text += fmt.Sprint(*c.answer)
		}
	}
	return text
}
