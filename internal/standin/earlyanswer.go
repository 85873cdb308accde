package standin

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// EarlyEnd is how a server ends an answer that it sends while the body of its request is still being sent.
type EarlyEnd string

const (
	// EndReset resets the connection.
	EndReset EarlyEnd = "reset"
	// EndUnread closes the connection while a part of the body is unread, which the operating system makes a reset.
	EndUnread EarlyEnd = "closed with the body unread"
	// EndThenRest closes the server's side and then reads the rest of the body.
	EndThenRest EarlyEnd = "closed before the rest of the body"
	// EndAfterRest reads the rest of the body and then closes the connection.
	EndAfterRest EarlyEnd = "closed after the rest of the body"
)

// EarlyAnswer is an answer that a server begins before it has read the body of the request.
type EarlyAnswer struct {
	End EarlyEnd
	// Read is the number of bytes of the body that are read before the end.
	Read int64
	// Pause is the time between the answer and its end.
	Pause time.Duration
	// When says when the end comes, in names of tests.
	When string
}

// EarlyAnswers are answers with each end.
var EarlyAnswers = []EarlyAnswer{
	{EndReset, 0, 0, "at once"},
	{EndReset, 0, 20 * time.Millisecond, "after 20 ms"},
	{EndReset, 0, 150 * time.Millisecond, "after 150 ms"},
	{EndReset, 1 << 20, 0, "after 1 MiB"},
	{EndUnread, 0, 0, "at once"},
	{EndUnread, 0, 20 * time.Millisecond, "after 20 ms"},
	{EndUnread, 0, 150 * time.Millisecond, "after 150 ms"},
	{EndUnread, 1 << 20, 0, "after 1 MiB"},
	{EndThenRest, 0, 0, "at once"},
	{EndThenRest, 1 << 20, 20 * time.Millisecond, "after 1 MiB"},
	{EndAfterRest, 0, 0, "at once"},
	{EndAfterRest, 0, 20 * time.Millisecond, "after 20 ms"},
}

// Name returns the end and when it comes.
func (a EarlyAnswer) Name() string { return string(a.End) + ", " + a.When }

// Whole reports whether the server sends the whole answer, and does not reset the connection while the body is being sent.
func (a EarlyAnswer) Whole() bool { return a.End == EndThenRest || a.End == EndAfterRest }

// Send sends the answer on the connection of a request, or its part unless it is whole, and ends it. body is what is left to read
// of the request.
func (a EarlyAnswer) Send(conn net.Conn, body io.Reader, whole, part string) {
	defer conn.Close()
	text := part
	if a.Whole() {
		text = whole
	}
	_, _ = io.WriteString(conn, text) // the other end shows whether it has arrived
	_, _ = io.CopyN(io.Discard, body, a.Read)
	time.Sleep(a.Pause)
	tcp := conn.(*net.TCPConn)
	switch a.End {
	case EndReset:
		_ = tcp.SetLinger(0)
	case EndUnread:
		awaitUnread(tcp)
	case EndThenRest:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, body)
	case EndAfterRest:
		// The body ends when the other end has sent all of it, but its connection stays open.
		_, _ = io.Copy(io.Discard, body)
	}
}

// unreadWait bounds how long awaitUnread waits.
const unreadWait = 10 * time.Second

// awaitUnread waits until the operating system has bytes of a connection that were not read.
func awaitUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	unread := 0
	for begun := time.Now(); unread == 0 && time.Since(begun) < unreadWait; time.Sleep(time.Millisecond) {
		if raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) != nil {
			return
		}
	}
}

// EarlyPadding is the number of bytes added to early answers that are no streams, so that instances relay their first half before
// the second one comes.
const EarlyPadding = 256 << 10

// SetEarlyAnswer makes the server answer requests before it has read their bodies; nil makes it read them.
func (s *Server) SetEarlyAnswer(a *EarlyAnswer) { s.earlyAnswer.Store(a) }

// EarlyAnswersSent returns how many such answers the server has sent.
func (s *Server) EarlyAnswersSent() int { return int(s.earlyAnswersSent.Load()) }

// sendEarlyAnswer runs a request and answers it before its body has been read. The end of the answer is that of its connection.
func (s *Server) sendEarlyAnswer(w http.ResponseWriter, r *http.Request, a *EarlyAnswer) {
	id := r.Header.Get("Martenport-Attempt-Id")
	if r.Header.Get("Kv-From") == "" {
		s.countRun(id)
	}
	s.earlyAnswersSent.Add(1)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	text := wholeAnswer(r, nil)
	if r.Header.Get("Martenport-Model") == "" {
		text += strings.Repeat(".", EarlyPadding)
	}
	_, sealed := s.answerHeaders(id)
	head := successLine + sealed + contentType(text) + "Connection: close\r\n\r\n"
	// The reader has bytes of the body that were read with the head.
	body := io.LimitReader(buffered, r.ContentLength)
	a.Send(conn, body, head+text, head+text[:len(text)/2])
}
