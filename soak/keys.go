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

// Workspaces of the soak: one whose key is used by clients that test something else, one whose clients exceed its
// rate limit, and one whose keys are revoked. Each configuration has the rotating key of its own version and that
// of the version before.
const (
	steadyWorkspace   = "steady"
	limitedWorkspace  = "limited"
	rotatingWorkspace = "rotating"

	steadyKey  = "key-steady"
	limitedKey = "key-limited"
	unknownKey = "key-of-nobody"
	// rotatingPrefix is followed by a version of the configuration.
	rotatingPrefix = "key-v"
)

// Bounds of keys and rate limits. Limits are in tokens; a request without a token count costs plainTokens, so
// limitRate is ten requests per second.
const (
	revokeBound  = 4 * time.Second
	limitRate    = 2000.0
	limitBurst   = 2000.0
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 2000.0
	plainTokens  = 200.0
)

// quotaBound is the maximum number of requests of the limited workspace that may run in a quotaWindow.
const quotaBound = ((limitRate*4+limitBurst)*(1+quotaOverage) + quotaSlack) / plainTokens

func rotatingKey(version int64) string { return rotatingPrefix + strconv.FormatInt(version, 10) }

// workspaces returns the workspaces of a version of the configuration.
func workspaces(version int64) []standin.Workspace {
	return []standin.Workspace{
		{Name: steadyWorkspace, Keys: []string{steadyKey}},
		{Name: limitedWorkspace, Keys: []string{limitedKey}, Rate: limitRate, Burst: limitBurst},
		{Name: rotatingWorkspace, Keys: []string{rotatingKey(version), rotatingKey(version - 1)}},
	}
}

// drawKey returns the key of a request: in most cases that of the steady workspace.
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

// workspaceOf returns the workspace that has, or had, a key, and "" for an unknown key.
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

// addVersion records when a version of the configuration was acknowledged.
func (h *history) addVersion(version int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged[version] = now
}

// revokedAt returns when the first configuration without the key was acknowledged, and whether there is one. h.mu
// must be held.
func (h *history) revokedAt(key string) (time.Time, bool) {
	introduced, err := strconv.ParseInt(strings.TrimPrefix(key, rotatingPrefix), 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	var first time.Time
	for version, at := range h.acknowledged {
		if version >= introduced+2 && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// keyViolations checks that servers are told the right workspace and no key, that no key works for longer than
// revokeBound after its revocation, and that the limited workspace stays within its limit. h.mu must be held.
func (h *history) keyViolations() []Violation {
	var found []Violation
	firstRuns := map[string]time.Time{} // when each request of the limited workspace first ran
	for name, state := range h.servers {
		for _, a := range state.Arrivals {
			req, known := h.requests[a.ID]
			if !known {
				continue // an unknown request is reported elsewhere; those of the last checks are not recorded
			}
			if a.KeyTold {
				found = append(found, Violation{"no server is told a key", fmt.Sprintf("%s at %s", a.ID, name)})
			}
			if want := workspaceOf(req.key); a.Workspace != want || want == "" {
				found = append(found, Violation{"a request runs as the workspace of its key", fmt.Sprintf("%s with %s reached %s as %q", a.ID, req.key, name, a.Workspace)})
			}
			if at, revoked := h.revokedAt(req.key); revoked && state.Runs[a.ID] > 0 && req.sentAt.Sub(at) > revokeBound {
				found = append(found, Violation{"a key works no longer than the bound", fmt.Sprintf("%s sent %s after %s was taken away ran at %s", a.ID, req.sentAt.Sub(at), req.key, name)})
			}
			if first, recorded := firstRuns[a.ID]; workspaceOf(req.key) == limitedWorkspace && state.Runs[a.ID] > 0 && (!recorded || a.At.Before(first)) {
				firstRuns[a.ID] = a.At
			}
		}
	}
	if n, from := h.maxInWindow(firstRuns); n > quotaBound {
		found = append(found, Violation{"a workspace stays within its limit", fmt.Sprintf("%d requests ran in the %s from %s, %.0f are allowed", n, quotaWindow, from.Format("15:04:05.000"), quotaBound)})
	}
	return found
}

// maxInWindow returns the maximum number of requests that were sent and arrived within one quotaWindow, and the
// beginning of that window. h.mu must be held.
func (h *history) maxInWindow(firstRuns map[string]time.Time) (most int, from time.Time) {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for id, at := range firstRuns {
		spans = append(spans, span{h.requests[id].sentAt, at})
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
