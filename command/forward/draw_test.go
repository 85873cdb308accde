package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestResendDrawnOnce: every repeated send is drawn from the budget once, also when a server's failed
// response is held back until it is decided whether the request is sent again. An attempt that
// reached no server is not counted. If the budget is empty, the request is not sent again.
func TestResendDrawnOnce(t *testing.T) {
	ok, failed, refused := reply{status: 200, body: "done"}, reply{status: 500, body: "no"}, reply{status: 503, notExecuted: true}
	tests := map[string]struct {
		replies      []reply
		countedSends int // sends that reach a server
		// statusIfDenied is the client's status if the budget allows no repeated send; 0: a failure and no response.
		statusIfDenied int
	}{
		"failed":      {[]reply{failed, ok}, 2, failed.status},
		"refused":     {[]reply{refused, ok}, 2, 0},
		"answer lost": {[]reply{{failure: mayHaveRun}, ok}, 2, 0},
		"answer cut":  {[]reply{{status: 200, body: "do", broken: true}, ok}, 2, 0},
		"all of them": {[]reply{failed, refused, ok}, 3, failed.status},
		"not sent":    {[]reply{{failure: notSent}, ok}, 1, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.replies...)
			w, failure := f.serve("safe", "", 0)
			if failure != nil || w.Code != ok.status {
				t.Errorf("status %d, %v", w.Code, failure)
			}
			if n := f.forwarder.budget.State("plain", time.Now()).Repeats; n != test.countedSends-1 {
				t.Errorf("%d draws for %d sends that reach a server", n, test.countedSends)
			}

			f = newFixture(t, test.replies...)
			f.forwarder.budget.SetParams(BudgetParams{Window: time.Minute}, time.Now())
			w, failure = f.serve("safe", "", 0)
			attempts := len(f.servers.attempts)
			if test.statusIfDenied == 0 && (failure == nil || attempts != 1) || test.statusIfDenied != 0 && (failure != nil || w.Code != test.statusIfDenied) {
				t.Errorf("with an empty budget: status %d, %v after %d attempts", w.Code, failure, attempts)
			}
			if reached := attempts - unsentAttempts(test.replies); reached > 1 {
				t.Errorf("with an empty budget: %d attempts reached a server, want at most 1", reached)
			}
		})
	}
}

// unsentAttempts counts the attempts that end before they reach a server.
func unsentAttempts(replies []reply) int {
	n := 0
	for _, r := range replies {
		if r.failure != nil && r.failure.Verdict == verdict.NotRun {
			n++
		}
	}
	return n
}
