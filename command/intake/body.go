package intake

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// firstBytes is the size of the buffer that a body is read into at first.
const firstBytes = 4 << 10

// ReadBody reads a body to its end and charges it to h. length is the announced length, -1 if it is not known, and most the
// largest size, 0 if there is none; r fails beyond it. The error is an *Error if the request was refused.
func ReadBody(r io.Reader, length, most int64, h *Holding) ([]byte, error) {
	body, err := readAll(r, limitOf(length, most), h)
	if refused := h.Err(); refused != nil {
		return nil, refused // err is that of a read that was interrupted
	}
	if err != nil {
		return nil, err
	}
	return body, h.Complete()
}

// limitOf returns the size that a buffer need not exceed.
func limitOf(length, most int64) int64 {
	switch {
	case length >= 0:
		return length
	case most > 0:
		return most
	}
	return math.MaxInt64
}

// readAll reads to the end of r into a buffer that grows up to limit.
func readAll(r io.Reader, limit int64, h *Holding) ([]byte, error) {
	var body []byte
	for {
		space := body[len(body):cap(body)]
		if len(space) == 0 && int64(cap(body)) < limit {
			grown, err := grow(body, limit, h)
			if err != nil {
				return nil, err
			}
			body = grown
			continue
		}
		var probe [1]byte // a full buffer of the largest size has only the end of r to come
		if len(space) == 0 {
			space = probe[:]
		}
		if err := h.Err(); err != nil {
			return nil, err
		}
		n, err := r.Read(space)
		h.Progress(n)
		if n > 0 && int64(len(body)) == limit {
			return nil, errors.New("intake: a body is longer than announced")
		}
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger buffer with the content of body.
func grow(body []byte, limit int64, h *Holding) ([]byte, error) {
	size := min(limit, max(firstBytes, 2*int64(cap(body))))
	if err := h.Charge(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	h.Discharge(int64(cap(body)))
	return grown, nil
}
