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

// replaced answers for servers of which some are gone: another has their address.
type replaced struct {
	gone map[string]bool
	// failing: those that are not gone answer with an error.
	failing bool
}

func (r *replaced) Send(_ context.Context, a serving.Attempt) (*serving.Response, error) {
	resp := &serving.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}
	switch {
	case r.gone[a.Server.ID]:
		resp.Status, resp.NotRun, resp.Misdirected = http.StatusMisdirectedRequest, true, true
	case r.failing:
		resp.Status = http.StatusInternalServerError
	}
	return resp, nil
}

// TestReplacedServersGoBehind: clients of a plain service were refused at all instances
// for as long as the entries of its killed servers stayed in the store, though their
// successors answered. The successors had failed requests before, and that another
// server has an address said nothing against the one that was announced there: so the
// two that were gone were asked first each time, and the third send was beyond the
// budget of repeated ones. The instances' logs had two sends to the servers that were
// gone for each request, and then "the budget of repeated sends is spent".
func TestReplacedServersGoBehind(t *testing.T) { synctest.Test(t, testReplacedServersGoBehind) }

func testReplacedServersGoBehind(t *testing.T) {
	f := newFixture(t)
	servers := &replaced{gone: map[string]bool{"s1": true, "s2": true}, failing: true}
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
		t.Errorf("%d of 50 requests answered, want half at least: one server of three is well", answered)
	}
}
