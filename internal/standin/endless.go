package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Endless is the part of its answers that a Server sends without end; none if empty.
type Endless string

// The parts of an answer.
const (
	EndlessStatusLine Endless = "status line"
	EndlessHeader     Endless = "header"
	EndlessHeaders    Endless = "headers"
	EndlessInterim    Endless = "informational answers"
	// EndlessNotice is the body of a failure without a seal, EndlessBody that of a sealed success, and EndlessComments and
	// EndlessEvent are in a sealed stream of events.
	EndlessNotice   Endless = "notice"
	EndlessBody     Endless = "body"
	EndlessComments Endless = "comments"
	EndlessEvent    Endless = "event"
)

// AllEndless are all parts that may have no end.
var AllEndless = []Endless{EndlessStatusLine, EndlessHeader, EndlessHeaders, EndlessInterim, EndlessNotice, EndlessBody, EndlessComments, EndlessEvent}

// endlessBlock is the number of bytes that are sent at once.
const endlessBlock = 8 << 10

// endlessState is what a Server sends without end, and how many bytes of it were sent.
type endlessState struct {
	mu   sync.Mutex
	part Endless // guarded by mu
	sent atomic.Int64
}

// SetEndless makes the server answer everything but calls for itself with bytes without end, until the connection is closed.
func (s *Server) SetEndless(part Endless) {
	s.endless.mu.Lock()
	defer s.endless.mu.Unlock()
	s.endless.part = part
}

// EndlessSent returns how many bytes without end the server has sent.
func (s *Server) EndlessSent() int64 { return s.endless.sent.Load() }

func (e *endlessState) current() Endless {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.part
}

// PathEndless is the path that calls SetEndless: POST with ?part=.
const PathEndless = "/standin/endless"

func (s *Server) serveEndless(w http.ResponseWriter, r *http.Request) {
	s.SetEndless(Endless(r.URL.Query().Get("part")))
	w.WriteHeader(http.StatusNoContent)
}

// sendEndless answers a request without end.
func (s *Server) sendEndless(w http.ResponseWriter, r *http.Request, part Endless) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	go closeAtEnd(s.ended, conn)
	begin, piece := s.endlessParts(r.Header.Get("Martenport-Attempt-Id"), part)
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	block := []byte(strings.Repeat(piece, 1+endlessBlock/len(piece)))
	for {
		n, err := conn.Write(block)
		s.endless.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// closeAtEnd closes a connection when the server ends, or as soon as the other side has closed it.
func closeAtEnd(ended <-chan struct{}, conn net.Conn) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
	}()
	select {
	case <-ended:
	case <-closed:
	}
	_ = conn.Close()
}

// endlessParts returns the beginning of the answer to a request, and what is repeated after it.
func (s *Server) endlessParts(id string, part Endless) (begin, piece string) {
	const line = "HTTP/1.1 200 OK\r\n"
	named := "Martenport-Attempt-Id: " + id + "\r\n"
	if id == "" {
		named = ""
	}
	sealed := named + "Martenport-Server-Seal: seal-" + s.params.ID + "\r\n"
	switch part {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", "x"
	case EndlessHeader:
		return line + sealed + "X-Long: ", "x"
	case EndlessHeaders:
		return line + sealed, "X-Many: x\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case EndlessNotice:
		return "HTTP/1.1 400 Bad Request\r\n" + named + "\r\n", "x"
	case EndlessComments:
		return line + sealed + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n"
	case EndlessEvent:
		return line + sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"
	default:
		return line + sealed + "\r\n", "x"
	}
}
