package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// Workspaces of the soak: one whose key all clients have that test something else, one with a
// limit that its clients go beyond, and one whose keys are taken away: each version of the
// configuration has that of its own and that of the version before.
const (
	steadyWorkspace   = "steady"
	limitedWorkspace  = "limited"
	rotatingWorkspace = "rotating"

	steadyKey  = "key-steady"
	limitedKey = "key-limited"
	unknownKey = "key-of-nobody"
	// rotatingPrefix is followed by a version.
	rotatingPrefix = "key-v"
)

// Bounds of keys and limits. The limit is in tokens, of which a request that does not say its
// size counts plainTokens: ten requests a second.
const (
	revokeBound  = 4 * time.Second
	limitRate    = 2000.0
	limitBurst   = 2000.0
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 2000.0
	plainTokens  = 200.0
)

// quotaBound is how many requests of the limited workspace may run in a window.
const quotaBound = ((limitRate*4+limitBurst)*(1+quotaOverage) + quotaSlack) / plainTokens

func rotatingKey(version int64) string { return rotatingPrefix + strconv.FormatInt(version, 10) }

// workspaces are those of a version.
func workspaces(version int64) []standin.Workspace {
	return []standin.Workspace{
		{Name: steadyWorkspace, Keys: []string{steadyKey}},
		{Name: limitedWorkspace, Keys: []string{limitedKey}, Rate: limitRate, Burst: limitBurst},
		{Name: rotatingWorkspace, Keys: []string{rotatingKey(version), rotatingKey(version - 1)}},
	}
}

// drawKey returns the key of a request: mostly that of the steady workspace.
func (r *run) drawKey(random *rand.Rand) string {
	switch n := random.IntN(100); {
	case n < 20:
		return limitedKey
	case n < 35:
		return rotatingKey(r.version() - random.Int64N(4))
	case n < 40:
		return unknownKey
	}
	return steadyKey
}

// workspaceOf is the workspace that has had a key, "" if none ever had.
func workspaceOf(key string) string {
	switch {
	case key == steadyKey || key == "":
		return steadyWorkspace
	case key == limitedKey:
		return limitedWorkspace
	case strings.HasPrefix(key, rotatingPrefix):
		return rotatingWorkspace
	}
	return ""
}

// accepted notes that a version was acknowledged.
func (s *seen) accepted(version int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[version] = now
}

// revoked needs mu. It returns when a configuration without a key was first acknowledged.
func (s *seen) revoked(key string) (time.Time, bool) {
	of, err := strconv.ParseInt(strings.TrimPrefix(key, rotatingPrefix), 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	var first time.Time
	for version, at := range s.versions {
		if version >= of+2 && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// keyBreaches needs mu. It checks whose requests servers were told that they are, that no key
// works for long after it was taken away, and that the limited workspace stays within its limit.
func (s *seen) keyBreaches() []Breach {
	var found []Breach
	arrived := map[string]time.Time{} // requests of the limited workspace that ran
	for name, state := range s.servers {
		for _, a := range state.Arrivals {
			t, known := s.tries[a.ID]
			if !known {
				continue // found elsewhere, or one of the last checks
			}
			if a.KeyTold {
				found = append(found, Breach{"no server is told a key", fmt.Sprintf("%s at %s", a.ID, name)})
			}
			if want := workspaceOf(t.key); a.Workspace != want || want == "" {
				found = append(found, Breach{"a request runs as the workspace of its key", fmt.Sprintf("%s with %s reached %s as %q", a.ID, t.key, name, a.Workspace)})
			}
			if at, revoked := s.revoked(t.key); revoked && state.Runs[a.ID] > 0 && t.sent.Sub(at) > revokeBound {
				found = append(found, Breach{"a key works no longer than the bound", fmt.Sprintf("%s sent %s after %s was taken away ran at %s", a.ID, t.sent.Sub(at), t.key, name)})
			}
			if first, before := arrived[a.ID]; workspaceOf(t.key) == limitedWorkspace && state.Runs[a.ID] > 0 && (!before || a.At.Before(first)) {
				arrived[a.ID] = a.At
			}
		}
	}
	if n, from := s.mostInWindow(arrived); n > quotaBound {
		found = append(found, Breach{"a workspace stays within its limit", fmt.Sprintf("%d requests ran in the %s from %s, %.0f are allowed", n, quotaWindow, from.Format("15:04:05.000"), quotaBound)})
	}
	return found
}

// mostInWindow needs mu. It returns how many requests at the most were sent and arrived in one
// window, and when that began.
func (s *seen) mostInWindow(arrived map[string]time.Time) (most int, from time.Time) {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for id, at := range arrived {
		spans = append(spans, span{s.tries[id].sent, at})
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i, first := range spans {
		n := 0
		for _, other := range spans[i:] {
			if other.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if other.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
