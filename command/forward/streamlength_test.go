package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// lengthServers answers attempts with streams of a stated length, and sends one event at a time.
type lengthServers struct{ *fakeServers }

// Send implements serving.Sender.
func (s lengthServers) Send(ctx context.Context, a serving.Attempt) (*serving.Response, error) {
	resp, err := s.fakeServers.Send(ctx, a)
	if err == nil {
		resp.Header.Set("Content-Length", strconv.Itoa(len(threeEvents)))
		resp.Body = io.NopCloser(pieceReader{resp.Body})
	}
	return resp, err
}

// pieceReader reads one event of threeEvents at a time.
type pieceReader struct{ io.Reader }

// Read implements io.Reader.
func (r pieceReader) Read(p []byte) (int, error) {
	return r.Reader.Read(p[:min(len(p), len(threeEvents)/3)])
}

// TestStatedLengthEndsStreamTooSoon guards against a stream that looks complete to its client before its last event,
// because the server that began it stated a length and another one sends more.
func TestStatedLengthEndsStreamTooSoon(t *testing.T) {
	f := newFixture(t,
		reply{status: 200, events: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", broken: true},
		reply{status: 200, events: true, body: "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"},
	)
	f.forwarder.sender = lengthServers{f.servers}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		failure := f.forwarder.Serve(r.Context(), &serving.Request{
			ID: "r1", Method: http.MethodPost, Host: "h", Target: "/stream/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"}, Arrived: time.Now(),
		}, w)
		if failure != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	resp, err := http.Post(server.URL, "", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if want := threeEvents + "id: 4\ndata: d\n\n"; err != nil || string(text) != want {
		t.Errorf("client got %q, %v; want %q", text, err, want)
	}
}
