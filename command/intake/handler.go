package intake

import (
	"io"
	"net/http"
	"time"
)

// messageCopies is how many times the bytes of a message are in memory while it is decoded: as they came, in a buffer that has
// grown beyond them, and as fields.
const messageCopies = 3

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Limit returns a handler whose requests' bodies are charged to the budget until they are answered. A request arrives while its body
// is being read; if it is refused then, reading fails with the error that refusal makes of an *Error.
func (b *Budget) Limit(next http.Handler, refusal func(error) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		h := b.Begin(func() { _ = conn.SetReadDeadline(past) })
		defer h.Release()
		h.setArriving(false)
		r.Body = &chargedBody{ReadCloser: r.Body, holding: h, refusal: refusal}
		next.ServeHTTP(w, r)
		_ = conn.SetReadDeadline(time.Now().Add(unreadTimeout)) // net/http removes it before the next request
	})
}

// unreadTimeout is how long net/http waits for what a handler has not read of a body before it closes the connection.
const unreadTimeout = 500 * time.Millisecond

// chargedBody charges what is read.
type chargedBody struct {
	io.ReadCloser
	holding *Holding
	refusal func(error) error
}

// Read implements io.Reader.
func (c *chargedBody) Read(p []byte) (int, error) {
	c.holding.setArriving(true)
	n, err := c.ReadCloser.Read(p)
	c.holding.setArriving(false)
	c.holding.Progress(n)
	if refused := c.holding.Charge(messageCopies * int64(n)); refused != nil {
		return 0, c.refusal(refused)
	}
	return n, err
}
