// Package httphead checks the heads of HTTP responses, of which net/http accepts more than HTTP allows: status codes that do not
// exist, and names of fields with blanks. Such a field is kept under the name as it was sent, or joined with the one before, so that
// a length or an encoding in it is overlooked, and the body is not the one that the server meant.
//
// All that reads responses of servers, of the store or of other instances goes by it, before anything else of a head counts.
package httphead

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for a response whose head is not that of a final response in HTTP. What the response says does not count,
// and whether the request was carried out is not known.
var ErrInvalid = errors.New("the head of the response is not valid HTTP")

// lastStatus is the highest status code of HTTP (RFC 9110, section 15).
const lastStatus = 599

// Check returns an error that wraps ErrInvalid if the head of a response is not that of a final response in HTTP. scanner is that of
// its connection, nil for none.
func Check(resp *http.Response, scanner *Scanner) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > lastStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !isToken(name) {
			return errors.Wrapf(ErrInvalid, "field %q", name)
		}
	}
	return scanner.Err()
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2), as names of fields are.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

func isTokenByte(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// Transport is an http.RoundTripper that fails with ErrInvalid, and closes the connection, where Base returns a response whose head
// is not valid.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn.Store(&i.Conn)
		if i.Reused {
			ScannerOf(i.Conn).Begin()
		}
	}}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	var used net.Conn
	if c := conn.Load(); c != nil {
		used = *c
	}
	if err := Check(resp, ScannerOf(used)); err != nil {
		if used != nil {
			_ = used.Close() // that of a response without a body is kept otherwise
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base if it can. http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
