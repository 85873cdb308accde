package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
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
	// EndlessExtension is in the line before a chunk of a sealed success, EndlessExtensions in each of many such lines, and
	// EndlessChunkSize the number in it.
	EndlessExtension  Endless = "chunk extension"
	EndlessExtensions Endless = "chunk extensions"
	EndlessChunkSize  Endless = "chunk size"
	// EndlessTrailer and EndlessTrailers come after the whole body of a sealed success in chunks, EndlessRest and
	// EndlessAnswers after one that states its length.
	EndlessTrailer  Endless = "trailer"
	EndlessTrailers Endless = "trailers"
	EndlessRest     Endless = "rest"
	EndlessAnswers  Endless = "answers"
)

// AllEndless are all parts that may have no end and replace an answer.
var AllEndless = []Endless{EndlessStatusLine, EndlessHeader, EndlessHeaders, EndlessInterim, EndlessNotice, EndlessBody, EndlessComments, EndlessEvent}

// EndlessAfterHead are the parts of the framing of a sealed answer that may have no end.
var EndlessAfterHead = []Endless{EndlessExtension, EndlessExtensions, EndlessChunkSize, EndlessTrailer, EndlessTrailers, EndlessRest, EndlessAnswers}

// endlessBlock is the number of bytes that are sent at once.
const endlessBlock = 8 << 10

// EndlessFault states what a Server sends without end.
type EndlessFault struct {
	Part Endless
	// Pause is the time between two repeated pieces; if 0 they are sent as fast as they are read.
	Pause time.Duration
	// OnlyRequests leaves the answers to orders and to calls for the report whole.
	OnlyRequests bool
}

// Query returns the query that sets the fault at PathEndless.
func (f EndlessFault) Query() url.Values {
	v := url.Values{"part": {string(f.Part)}, "pause": {f.Pause.String()}}
	if f.OnlyRequests {
		v.Set("of", "requests")
	}
	return v
}

// endlessState is what a Server sends without end, and how many bytes of it were sent.
type endlessState struct {
	mu    sync.Mutex
	fault EndlessFault // guarded by mu
	sent  atomic.Int64
}

// SetEndless makes the server answer everything but calls for itself with bytes without end, until the connection is closed.
func (s *Server) SetEndless(part Endless) { s.SetEndlessFault(EndlessFault{Part: part}) }

// SetEndlessFault sets what the server sends without end.
func (s *Server) SetEndlessFault(f EndlessFault) {
	s.endless.mu.Lock()
	defer s.endless.mu.Unlock()
	s.endless.fault = f
}

// EndlessSent returns how many bytes without end the server has sent.
func (s *Server) EndlessSent() int64 { return s.endless.sent.Load() }

// faultFor returns the fault of the answer to a call, and whether there is one.
func (e *endlessState) faultFor(r *http.Request) (EndlessFault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isRequest := r.Header.Get("Martenport-Attempt-Id") != ""
	applies := e.fault.Part != "" && !strings.HasPrefix(r.URL.Path, pathOfStandin) && (isRequest || !e.fault.OnlyRequests)
	return e.fault, applies
}

// PathEndless is the path that calls SetEndlessFault: POST with EndlessFault.Query.
const PathEndless = "/standin/endless"

func (s *Server) serveEndless(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pause, _ := time.ParseDuration(query.Get("pause"))
	s.SetEndlessFault(EndlessFault{Part: Endless(query.Get("part")), Pause: pause, OnlyRequests: query.Get("of") == "requests"})
	w.WriteHeader(http.StatusNoContent)
}

// sendEndless answers a request without end.
func (s *Server) sendEndless(w http.ResponseWriter, r *http.Request, f EndlessFault) {
	body, _ := io.ReadAll(r.Body)
	whole := wholeAnswer(r, body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	go closeAtEnd(s.ended, conn)
	begin, piece := s.endlessParts(r.Header.Get("Martenport-Attempt-Id"), f.Part, whole)
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	block := []byte(piece)
	if f.Pause == 0 {
		block = []byte(strings.Repeat(piece, 1+endlessBlock/len(piece)))
	}
	for {
		n, err := conn.Write(block)
		s.endless.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(f.Pause)
	}
}

// wholeAnswer returns the body of the answer that a sound server gives to a request.
func wholeAnswer(r *http.Request, body []byte) string {
	model := r.Header.Get("Martenport-Model")
	if model == "" {
		return fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
	}
	var b strings.Builder
	form := streamFormOf(r.URL.Query())
	for i := form.number(r.Header.Get("Last-Event-Id")) + 1; i <= StreamEvents; i++ {
		b.WriteString(form.event(i, model))
	}
	return b.String()
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

// successLine is the status line of a success.
const successLine = "HTTP/1.1 200 OK\r\n"

// answerHeaders returns the header that names the request, and the same with that of the seal.
func (s *Server) answerHeaders(id string) (named, sealed string) {
	if id != "" {
		named = "Martenport-Attempt-Id: " + id + "\r\n"
	}
	return named, named + "Martenport-Server-Seal: " + s.Seal() + "\r\n"
}

// contentType returns the header of that name for a body.
func contentType(body string) string {
	if strings.HasPrefix(body, "id: ") {
		return "Content-Type: text/event-stream\r\n"
	}
	return "Content-Type: text/plain\r\n"
}

// framedAnswer returns a sealed answer, in chunks or with its length.
func (s *Server) framedAnswer(id, body string, inChunks bool) string {
	_, sealed := s.answerHeaders(id)
	head := successLine + sealed + contentType(body)
	if inChunks {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// endlessParts returns the beginning of the answer to a request, and what is repeated after it. whole is the body of a sound
// answer.
func (s *Server) endlessParts(id string, part Endless, whole string) (begin, piece string) {
	named, sealed := s.answerHeaders(id)
	chunked := successLine + sealed + contentType(whole) + "Transfer-Encoding: chunked\r\n\r\n"
	inChunks := strings.TrimSuffix(s.framedAnswer(id, whole, true), "\r\n")
	withLength := s.framedAnswer(id, whole, false)
	switch part {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", "x"
	case EndlessHeader:
		return successLine + sealed + "X-Long: ", "x"
	case EndlessHeaders:
		return successLine + sealed, "X-Many: x\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case EndlessNotice:
		return "HTTP/1.1 400 Bad Request\r\n" + named + "\r\n", "x"
	case EndlessComments:
		return successLine + sealed + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n"
	case EndlessEvent:
		return successLine + sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"
	case EndlessExtension:
		return chunked + "1;", "x"
	case EndlessExtensions:
		return chunked, "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"
	case EndlessChunkSize:
		return chunked, "0"
	case EndlessTrailer:
		return inChunks + "X-Long: ", "x"
	case EndlessTrailers:
		return inChunks, "X-Many: x\r\n"
	case EndlessRest:
		return withLength, "x"
	case EndlessAnswers:
		return withLength, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	default:
		return successLine + sealed + "\r\n", "x"
	}
}
