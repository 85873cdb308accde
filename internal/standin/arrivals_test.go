package standin

import (
	"net/http"
	"testing"
	"time"
)

// TestArrivalsAreBounded: the newest attempts are kept and the dropped ones are counted. Without the count a check
// could take part of the history for all of it.
func TestArrivalsAreBounded(t *testing.T) {
	var a arrivalLog
	for i := range maxArrivals + 1 {
		a.record(Arrival{ID: "x", At: time.Unix(int64(i), 0)})
	}
	list, forgotten := a.all()
	if forgotten+len(list) != maxArrivals+1 || len(list) > maxArrivals {
		t.Errorf("%d arrivals kept and %d dropped of %d", len(list), forgotten, maxArrivals+1)
	}
	if last := list[len(list)-1].At; !last.Equal(time.Unix(maxArrivals, 0)) {
		t.Errorf("newest arrival is that of %s, want the last one recorded", last)
	}
}

// TestFailingServerRecordsAttempts: a server that fails its requests must still count them as run and record their
// attempts.
func TestFailingServerRecordsAttempts(t *testing.T) {
	s, err := NewServer("127.0.0.1", ServerParams{ID: "s", Service: "plain"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	send := func(path, id string) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = ClientHeader(id, "", 0)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	before := send("/x", "a")
	send(PathFault+"?failing=true", "")
	during := send("/x", "b")
	send(PathFault+"?failing=false", "")
	after := send("/x", "a")
	if before != http.StatusOK || during != http.StatusInternalServerError || after != http.StatusOK {
		t.Errorf("got status %d before, %d while failing, %d after, want 200, 500, 200", before, during, after)
	}
	state := s.State()
	if len(state.Arrivals) != 3 || state.Arrivals[1].ID != "b" || state.Runs["a"] != 2 || state.Runs["b"] != 1 || state.Service != "plain" {
		t.Errorf("unexpected state %+v", state)
	}
}
