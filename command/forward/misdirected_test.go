package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/serving"
)

// replacedServers answers for servers of which some have been killed: another server listens at their
// addresses now.
type replacedServers struct {
	gone map[string]bool
	// failing is set if the remaining servers answer with an error.
	failing bool
}

func (r *replacedServers) Send(_ context.Context, a serving.Attempt) (*serving.Response, error) {
	resp := &serving.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}
	switch {
	case r.gone[a.Server.ID]:
		resp.Status, resp.NotExecuted, resp.Misdirected = http.StatusMisdirectedRequest, true, true
	case r.failing:
		resp.Status = http.StatusInternalServerError
	}
	return resp, nil
}

// TestMisdirectedServersRankLower guards against requests for a plain service that are refused at
// all instances for as long as the records of killed servers stay in the store, although the
// successors of these servers answer. The successors had failed requests before, and a misdirected
// answer did not count against the server that was announced at the address. So the two servers
// that were gone were tried first each time, and the third send exceeded the budget of repeated
// sends.
func TestMisdirectedServersRankLower(t *testing.T) { synctest.Test(t, testMisdirectedServersRankLower) }

func testMisdirectedServersRankLower(t *testing.T) {
	f := newFixture(t)
	servers := &replacedServers{gone: map[string]bool{"s1": true, "s2": true}, failing: true}
	f.forwarder.sender = servers
	for range 20 { // s3 is known to fail
		f.serve("unsafe", "", 0)
		time.Sleep(100 * time.Millisecond)
	}
	servers.failing = false
	f.forwarder.budget.SetParams(BudgetParams{Window: time.Minute}, time.Now())
	answered := 0
	for range 50 {
		if _, failure := f.serve("unsafe", "", 0); failure == nil {
			answered++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if answered < 25 {
		t.Errorf("%d of 50 requests answered, want at least half: one of three servers works", answered)
	}
}
