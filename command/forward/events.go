package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// streamEvent is one event of a stream, as received.
type streamEvent struct {
	raw []byte
	id  string
}

// maxEvent is the size in bytes up to which an event is read, together with comments and events without a new ID before it.
// It is many times that of an event with a few tokens, and bounds what many streams of a faulty server take at once.
const maxEvent = 64 << 10

// errEventTooLarge is returned for an event larger than maxEvent, and for as many bytes that bring no new event.
var errEventTooLarge = errors.Newf("an event is larger than %d bytes, or none comes", maxEvent)

// eventReader reads the events of a stream.
type eventReader struct {
	*bufio.Reader
	// lastID is the ID of the last event that had one, and highest the highest number among the IDs.
	lastID  string
	highest int64
	// unadvanced is the number of bytes read since the last event with a new ID.
	unadvanced int
}

func newEventReader(ctx context.Context, r io.Reader) *eventReader {
	return &eventReader{Reader: bufio.NewReader(newPacedReader(ctx, r, eventPace)), highest: -1}
}

// hasEvent reports whether next returns an event without waiting. It may miss one of an uncommon form.
func (r *eventReader) hasEvent() bool {
	buffered, _ := r.Peek(r.Buffered()) // cannot fail
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// next reads up to and including the blank line that ends an event. At the end of the stream it returns io.EOF together with
// the remaining data.
func (r *eventReader) next() (streamEvent, error) {
	var e streamEvent
	for {
		line, err := r.appendLine(&e)
		if err != nil {
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			r.advance(e.id)
			return e, nil
		}
		if name, value, _ := bytes.Cut(text, []byte(":")); string(name) == "id" {
			e.id = strings.TrimPrefix(string(value), " ")
		}
	}
}

// appendLine appends a line to the event, with its end, and returns it.
func (r *eventReader) appendLine(e *streamEvent) ([]byte, error) {
	begin := len(e.raw)
	for {
		part, err := r.ReadSlice('\n')
		if r.unadvanced += len(part); r.unadvanced > maxEvent {
			return nil, errEventTooLarge
		}
		e.raw = append(e.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.raw[begin:], err
		}
	}
}

// advance records that an event has ended.
func (r *eventReader) advance(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if id == "" || id == r.lastID || err == nil && number <= r.highest {
		return
	}
	r.lastID, r.unadvanced = id, 0
	if err == nil {
		r.highest = number
	}
}
