package forward

import (
	"context"
	"io"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// pace bounds how fast an answer is relayed. Otherwise some answers without end of a faulty server would take the processor
// from all other requests. What the server sends beyond waits in its connection.
type pace struct {
	// atOnce is the number of bytes that are relayed as fast as they come, and perSecond the rate of those beyond.
	atOnce, perSecond int64
}

// Both paces are many times what servers send. Each event is parsed, so that events cost more than other bytes.
var (
	eventPace = pace{atOnce: 1 << 20, perSecond: 256 << 10}
	bodyPace  = pace{atOnce: 16 << 20, perSecond: 8 << 20}
)

// pacedReader pauses after a read as long as more has come than an answer may have by then.
type pacedReader struct {
	io.Reader
	pace
	ctx   context.Context
	begun time.Time
	read  int64
}

func newPacedReader(ctx context.Context, r io.Reader, p pace) *pacedReader {
	return &pacedReader{Reader: r, pace: p, ctx: ctx, begun: time.Now()}
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	due := time.Duration(float64(r.read-r.atOnce) / float64(r.perSecond) * float64(time.Second))
	if wait := due - time.Since(r.begun); wait > 0 && !pause.For(r.ctx, wait) {
		return n, r.ctx.Err()
	}
	return n, err
}
