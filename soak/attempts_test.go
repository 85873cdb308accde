package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestAttemptsAreChecked checks that requests that run at too many servers are found, unless a fault affected them.
func TestAttemptsAreChecked(t *testing.T) {
	for _, undisturbed := range []bool{true, false} {
		for n := range maxRunTooOften + 2 {
			h := newHistory(3)
			for server := range routeAttempts + 1 {
				state := standin.State{Runs: map[string]int{"fine": server / routeAttempts}}
				for i := range n {
					state.Runs[fmt.Sprint("often-", i)] = 1
				}
				h.addServerState(fmt.Sprint("server-", server), state)
			}
			for i := range n {
				h.addRequest(clientRequest{id: fmt.Sprint("often-", i), undisturbed: undisturbed})
			}
			if found := h.attemptViolations(); (len(found) > 0) != (undisturbed && n > maxRunTooOften) {
				t.Errorf("%d requests, undisturbed %v: %v", n, undisturbed, found)
			}
		}
	}
}

// TestTimeLeftIsChecked checks that sends are found that servers are given too much time for.
func TestTimeLeftIsChecked(t *testing.T) {
	sent := time.Unix(1000, 0)
	at := func(after, remaining time.Duration) standin.Arrival {
		return standin.Arrival{At: sent.Add(after), Remaining: remaining}
	}
	for name, c := range map[string]struct {
		again standin.Arrival
		n     int
		want  bool
	}{
		"what is left":             {at(2*time.Second, longestTimeout-2*time.Second), 100, false},
		"the whole time again":     {at(2*time.Second, longestTimeout), 100, true},
		"few":                      {at(2*time.Second, longestTimeout), maxOverlong, false},
		"again at once":            {at(timeSlack, longestTimeout), 100, false},
		"no time":                  {at(2*time.Second, 0), 100, true},
		"more than the client has": {at(time.Millisecond, longestTimeout+2*timeSlack), 100, true},
	} {
		h := newHistory(3)
		state := standin.State{Service: "s"}
		for i := range c.n {
			id := fmt.Sprint("r-", i)
			h.addRequest(clientRequest{id: id, sentAt: sent, entryStable: true})
			for _, a := range []standin.Arrival{at(0, longestTimeout), c.again} {
				a.ID = id
				state.Arrivals = append(state.Arrivals, a)
			}
		}
		h.addServerState("server", state)
		if found := h.timeLeftViolations(); (len(found) > 0) != c.want {
			t.Errorf("%s: %v", name, found)
		}
	}
}
