package httphead

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Scanner finds lines that begin with a blank in the head of a response. No valid head has them (RFC 9112, section 5.2), but
// net/http joins such a line with the one before: a field in it is overlooked, and the value before it is not the one that was sent.
// A Scanner gets all bytes of a connection, as an io.Writer. It is safe for concurrent use.
type Scanner struct {
	// done is set from the end of the head of a final response until the next one begins.
	done atomic.Bool

	mu sync.Mutex
	// inFields is set from the end of the status line, and interim if that is of an interim response; guarded by mu.
	inFields, interim bool
	// line is the beginning of the current line, and length its number of bytes; guarded by mu.
	line   [maxStatusLine]byte
	length int
	// folded is set once a line of the current head has begun with a blank, and invalid for good once the head of a final response
	// has ended with such a line: after a response without a body the next one may begin before Err is called. Guarded by mu.
	folded, invalid bool
}

// maxStatusLine is how many bytes of a status line are kept: more than its version and code have.
const maxStatusLine = 32

// Begin makes the next bytes those of a response. It may be called on nil.
func (s *Scanner) Begin() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFields, s.interim, s.length, s.folded = false, false, 0, false
	s.done.Store(false)
}

// Write implements io.Writer.
func (s *Scanner) Write(p []byte) (int, error) {
	if s.done.Load() {
		return len(p), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range p {
		if s.done.Load() {
			break
		}
		s.scan(b)
	}
	return len(p), nil
}

// scan scans one byte of a head. s.mu must be held.
func (s *Scanner) scan(b byte) {
	if b == '\n' {
		s.endLine()
		s.length = 0
		return
	}
	if s.length < len(s.line) {
		s.line[s.length] = b
	}
	s.length++
	if s.length == 1 && s.inFields && (b == ' ' || b == '\t') {
		s.folded = true
	}
}

// endLine handles the end of a line. s.mu must be held.
func (s *Scanner) endLine() {
	switch {
	case !s.inFields:
		s.inFields, s.interim = true, isInterim(s.line[:min(s.length, len(s.line))])
	case s.length > 1 || s.length == 1 && s.line[0] != '\r':
		// a field
	case s.interim:
		s.inFields, s.folded = false, false
	default:
		s.invalid = s.invalid || s.folded
		s.done.Store(true)
	}
}

// isInterim reports whether a status line is that of an interim response, as net/http reads it.
func isInterim(line []byte) bool {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimSpace(rest), []byte(" "))
	return len(code) == 3 && code[0] == '1' && string(code) != "101"
}

// Err returns an error that wraps ErrInvalid if a line of a head began with a blank. It may be called on nil.
func (s *Scanner) Err() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.invalid {
		return errors.Wrap(ErrInvalid, "a line that begins with a blank")
	}
	return nil
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ScanConns makes the connections of a Dial have a Scanner.
func ScanConns(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: conn}, nil
	}
}

// scannedConn is a connection with a Scanner of what it receives.
type scannedConn struct {
	net.Conn
	head Scanner
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	_, _ = c.head.Write(p[:n])
	return n, err
}

// HeadScanner returns the Scanner of the connection.
func (c *scannedConn) HeadScanner() *Scanner { return &c.head }

// ScannerOf returns the Scanner of a connection, which its method HeadScanner returns; nil if it has none.
func ScannerOf(conn net.Conn) *Scanner {
	if s, scanned := conn.(interface{ HeadScanner() *Scanner }); scanned {
		return s.HeadScanner()
	}
	return nil
}
