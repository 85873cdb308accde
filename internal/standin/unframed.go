package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// unframedWriter writes an answer that has neither a length nor chunks and ends with its connection.
type unframedWriter struct {
	conn    net.Conn
	header  http.Header
	started bool
}

// serveUnframed calls handle with a writer of an unframed answer. If handle panics, as handlers do to break an answer
// off, the connection is closed like after a complete answer unless reset is set. It is closed like that, too, if the
// process is killed meanwhile.
func serveUnframed(w http.ResponseWriter, r *http.Request, reset bool, handle http.HandlerFunc) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	defer func() {
		if tcp, ok := conn.(*net.TCPConn); recover() != nil && reset && ok {
			_ = tcp.SetLinger(0) // fails only if the connection is gone
		}
	}()
	answer := &unframedWriter{conn: conn, header: w.Header()}
	handle(answer, r)
	answer.Flush() // an empty answer has a head, too
}

// Header implements http.ResponseWriter.
func (w *unframedWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *unframedWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	w.header.Set("Connection", "close")
	_, _ = fmt.Fprintf(w.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // a failed write shows at the next one
	_ = w.header.Write(w.conn)
	_, _ = io.WriteString(w.conn, "\r\n")
}

// Write implements http.ResponseWriter.
func (w *unframedWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.conn.Write(p)
}

// Flush implements http.Flusher.
func (w *unframedWriter) Flush() { w.WriteHeader(http.StatusOK) }
