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

// Limit returns a handler whose requests' bodies are charged to the budget until they are answered. A body that is refused fails
// to be read.
func (b *Budget) Limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		h := b.Begin(func() { _ = conn.SetReadDeadline(past) })
		defer h.Release()
		r.Body = &chargedBody{ReadCloser: r.Body, holding: h}
		next.ServeHTTP(w, r)
	})
}

// chargedBody charges what is read.
type chargedBody struct {
	io.ReadCloser
	holding *Holding
}

// Read implements io.Reader.
func (c *chargedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.holding.Progress(n)
	if refused := c.holding.Charge(messageCopies * int64(n)); refused != nil {
		return 0, refused
	}
	if err == io.EOF {
		if refused := c.holding.Complete(); refused != nil {
			return 0, refused
		}
	}
	return n, err
}
