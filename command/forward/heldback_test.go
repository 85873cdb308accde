package forward

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// silentServers answers the first attempt with a piece of a stream, after which nothing follows, and is not reached by others.
type silentServers struct {
	piece string
	asked bool
}

// Send implements serving.Sender.
func (s *silentServers) Send(ctx context.Context, _ serving.Attempt) (*serving.Response, error) {
	if s.asked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.asked = true
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(io.ErrUnexpectedEOF) })
	go func() { _, _ = io.WriteString(writer, s.piece) }()
	return &serving.Response{Status: http.StatusOK, Header: http.Header{}, Body: reader, Events: true}, nil
}

// TestCompleteEventIsHeldBack guards against a complete event that its client does not get because the next one does not.
func TestCompleteEventIsHeldBack(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	crlf := strings.ReplaceAll(event, "\n", "\r\n")
	for name, c := range map[string]struct{ event, next string }{
		"alone":                      {event, ""},
		"before a part of the next":  {event, "id: 2\nda"},
		"before most of the next":    {event, "id: 2\ndata: b\n"},
		"before a part, CRLF":        {crlf, "id: 2\r\ndata: b\r\n\r"},
		"before one that is dropped": {event, event},
		"before one that breaks off": {event, "id: 1\ndata: b\n\n"},
		"before two, CRLF":           {crlf + strings.Replace(crlf, "1", "2", 1), "id: 3\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.forwarder.sender = &silentServers{piece: c.event + c.next}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request := &serving.Request{
					ID: "r1", Method: http.MethodPost, Host: "h", Target: "/stream/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"}, Arrived: time.Now(),
				}
				if f.forwarder.Serve(r.Context(), request, w) != nil {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal("no answer has begun: ", err)
			}
			defer resp.Body.Close()
			got := make([]byte, len(c.event))
			if n, err := io.ReadFull(bufio.NewReader(resp.Body), got); err != nil || string(got) != c.event {
				t.Errorf("client has got %q, %v; want %q", got[:n], err, c.event)
			}
		})
	}
}
