package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// invalidData is data that no sound server sends in a stream.
var invalidData = map[string]string{
	"text":                         "out of memory\n\n",
	"bytes":                        "\x00\xff\xfe\x01\n\n",
	"text with a colon":            "panic: out of memory\n\n",
	"an event without an ID":       "data: x\n\n",
	"an empty ID":                  "id:\ndata: x\n\n",
	"an ID that is no number":      "id: x\ndata: x\n\n",
	"a negative ID":                "id: -3\ndata: x\n\n",
	"a signed ID":                  "id: +3\ndata: x\n\n",
	"an ID beyond any number":      "id: 99999999999999999999\ndata: x\n\n",
	"two IDs":                      "id: 3\nid: 4\ndata: x\n\n",
	"an ID alone":                  "id: 3\n\n",
	"an event cut in its data":     "id: 3\nda\n\n",
	"text in an event":             "id: 3\nout of memory\ndata: x\n\n",
	"bytes in an event":            "id: 3\ndata: \xff\xfe\n\n",
	"a line end within a line":     "id: 3\rx\ndata: x\n\n",
	"an event far ahead":           "id: 900\ndata: x\n\n",
	"an event behind CR":           "data: x\r\rdata: y\nid: 3\n\n",
	"an event behind a comment":    ": x\rdata: y\n\n",
	"the head of another answer":   "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"an event of another protocol": "{\"id\":3,\"data\":\"x\"}\n\n",
	"text without an end":          "out of memory",
	"an event without its end":     "id: 3\ndata: x\n",
}

// TestClientGetsEventsThatNoRunMade guards against data of a faulty server that its client gets as a part of its stream, and
// against a stream that looks complete behind such data.
func TestClientGetsEventsThatNoRunMade(t *testing.T) {
	const begun, rest = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	for name, invalid := range invalidData {
		for _, lines := range []string{"LF", "CRLF"} {
			for _, after := range []string{"ended", "broken off", "followed by the rest"} {
				t.Run(name+" "+lines+" "+after, func(t *testing.T) {
					body := begun + invalid
					if lines == "CRLF" {
						body = strings.ReplaceAll(strings.ReplaceAll(body, "\r\n", "\n"), "\n", "\r\n")
					}
					if after == "followed by the rest" {
						body += rest
					}
					reply := reply{status: http.StatusOK, events: true, body: body, broken: after == "broken off"}
					sound := begun
					if lines == "CRLF" {
						sound = strings.ReplaceAll(begun, "\n", "\r\n")
					}
					if got, complete := serveStream(t, "stream", reply, streamReply(rest)); got != sound+rest || !complete {
						t.Errorf("resumable: client got %q, complete %t; want %q", got, complete, sound+rest)
					}
					if got, complete := serveStream(t, "stream", reply); got != sound || complete {
						t.Errorf("nobody goes on: client got %q, complete %t; want %q", got, complete, sound)
					}
				})
			}
		}
	}
}

// TestStreamBeginsWithInvalidData guards against data of a faulty server that its client gets before the first event.
func TestStreamBeginsWithInvalidData(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, invalid := range invalidData {
		if name == "an event far ahead" {
			continue // nothing tells that it is
		}
		t.Run(name, func(t *testing.T) {
			faulty := reply{status: http.StatusOK, events: true, body: invalid + whole}
			if got, complete := serveStream(t, "stream", faulty, streamReply(whole)); got != whole || !complete {
				t.Errorf("resumable: client got %q, complete %t", got, complete)
			}
			if got, complete := serveStream(t, "once", faulty, streamReply(whole)); got != "" || complete {
				t.Errorf("not to be repeated: client got %q, complete %t", got, complete)
			}
		})
	}
}

// TestStreamWithoutItsTypeReachesClient guards against data that is relayed unread, since its head does not say that it is a stream.
func TestStreamWithoutItsTypeReachesClient(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	untyped := reply{status: http.StatusOK, body: "out of memory\n\n" + whole}
	if got, complete := serveStream(t, "stream", untyped, streamReply(whole)); got != whole || !complete {
		t.Errorf("resumable: client got %q, complete %t", got, complete)
	}
	if got, complete := serveStream(t, "once", untyped); got != "" || complete {
		t.Errorf("not to be repeated: client got %q, complete %t", got, complete)
	}
}

// TestCommentsAreNoEvents guards against clients that take comments or empty blocks for events, and against streams that end
// by them.
func TestCommentsAreNoEvents(t *testing.T) {
	const body = ": ready\n\n\n\nid: 1\n: more\ndata: a\n\n:\n\nname-of-field: 7\nid: 2\nevent: token\ndata: b\ndata:\n\n: end\n\n\n"
	const want = "id: 1\ndata: a\n\nname-of-field: 7\nid: 2\nevent: token\ndata: b\ndata:\n\n"
	if got, complete := serveStream(t, "once", streamReply(body)); got != want || !complete {
		t.Errorf("client got %q, complete %t; want %q", got, complete, want)
	}
}

func streamReply(body string) reply { return reply{status: http.StatusOK, events: true, body: body} }

// serveStream serves a stream from servers that give the replies in order, and returns what its client gets and whether that
// is complete.
func serveStream(t *testing.T, route string, replies ...reply) (body string, complete bool) {
	t.Helper()
	return takeUpStream(t, route, "", replies...)
}

// takeUpStream is serveStream for a client that has the events up to lastEvent, "" for none.
func takeUpStream(t *testing.T, route, lastEvent string, replies ...reply) (body string, complete bool) {
	t.Helper()
	f := newFixture(t, replies...)
	w := httptest.NewRecorder()
	r := &serving.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"}, Arrived: time.Now(), LastEventID: lastEvent,
	}
	failure := f.forwarder.Serve(t.Context(), r, w)
	return w.Body.String(), failure == nil
}
