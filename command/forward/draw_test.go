package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestResendDrawnOnce: every send after the first is drawn from the budget once, including when an
// answer is withheld until it is known whether another send is possible. A send that cannot be
// drawn is not made.
func TestResendDrawnOnce(t *testing.T) {
	ok, failed, refused := reply{status: 200, body: "done"}, reply{status: 500, body: "no"}, reply{status: 503, notExecuted: true}
	tests := map[string]struct {
		replies    []reply
		sends      int
		whenDenied int // status, 0: none
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
			if n := f.forwarder.budget.State("plain", time.Now()).Repeats; n != test.sends-1 {
				t.Errorf("%d draws for %d sends", n, test.sends)
			}

			f = newFixture(t, test.replies...)
			f.forwarder.budget.SetParams(BudgetParams{Window: time.Minute}, time.Now())
			w, failure = f.serve("safe", "", 0)
			sends := len(f.servers.attempts)
			if test.whenDenied == 0 && (failure == nil || sends != 1) || test.whenDenied != 0 && (failure != nil || w.Code != test.whenDenied) {
				t.Errorf("without a budget: status %d, %v after %d sends", w.Code, failure, sends)
			}
			if reached := sends - notSentOf(test.replies); reached > 1 {
				t.Errorf("without a budget: %d sends reached a server", reached)
			}
		})
	}
}

// notSentOf counts the replies to sends that reach no server.
func notSentOf(replies []reply) int {
	n := 0
	for _, r := range replies {
		if r.failure != nil && r.failure.Verdict == verdict.NotRun {
			n++
		}
	}
	return n
}
