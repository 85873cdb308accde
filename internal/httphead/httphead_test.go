package httphead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/httphead"
)

// TestCheck checks each status code, and each byte in the name of a field.
func TestCheck(t *testing.T) {
	for status := range 1000 {
		resp := &http.Response{StatusCode: status, Header: http.Header{"X-Own": {""}}}
		if err := httphead.Check(resp, nil); (err == nil) != (status >= 200 && status <= 599) {
			t.Errorf("status %d: %v", status, err)
		}
	}
	const separators = "\"(),/:;<=>?@[\\]{}"
	for b := range 256 {
		token := b > ' ' && b < 0x7f
		for _, separator := range []byte(separators) {
			token = token && byte(b) != separator
		}
		for _, name := range []string{string([]byte{byte(b)}), string([]byte{'X', byte(b)}), string([]byte{byte(b), 'X'})} {
			err := httphead.Check(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Own": {""}, name: {""}}}, nil)
			if (err == nil) != token || err != nil && !errors.Is(err, httphead.ErrInvalid) {
				t.Errorf("name %q: %v", name, err)
			}
		}
	}
	if httphead.Check(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"": {""}}}, nil) == nil {
		t.Error("an empty name is valid")
	}
}

// answerServer answers each request with the next of the answers, and counts its connections.
func answerServer(t *testing.T, answers ...string) (url string, conns *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = &atomic.Int64{}
	var next atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, answers[int(next.Add(1)-1)%len(answers)])
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), conns
}

// TestTransport checks that a response whose head is not valid is none and ends its connection, with a body and without one, and
// that others keep it.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	for _, invalid := range []string{"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX Own: x\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nX-Own: x\r\n y\r\nContent-Length: 0\r\n\r\n"} {
		url, conns := answerServer(t, sound, invalid, sound, sound)
		client := http.Client{Transport: httphead.Transport{Base: &http.Transport{DialContext: httphead.ScanConns((&net.Dialer{}).DialContext)}}}
		for n, want := range []struct {
			valid bool
			conns int64
		}{{true, 1}, {false, 1}, {true, 2}, {true, 2}} {
			resp, err := client.Get(url)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if (err == nil) != want.valid || !want.valid && !errors.Is(err, httphead.ErrInvalid) || conns.Load() != want.conns {
				t.Errorf("%q: response %d: %v on %d connections, want %+v", invalid, n, err, conns.Load(), want)
			}
		}
		client.CloseIdleConnections()
		if resp, err := client.Get(url); err != nil || resp.Body.Close() != nil || conns.Load() != 3 {
			t.Errorf("%v on %d connections after idle ones were closed, want a third one", err, conns.Load())
		}
	}
}
