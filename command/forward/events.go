package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// streamEvent is one event of a stream.
type streamEvent struct {
	// raw is the event as received, without comments.
	raw []byte
	// id is the event's ID, and number the same as a number.
	id     string
	number int64
}

// maxEvent is the size in bytes up to which an event is read, together with comments and events without a new ID before it.
// It is many times that of an event with a few tokens, and bounds what many streams of a faulty server take at once.
const maxEvent = 64 << 10

// errEventTooLarge is returned for an event larger than maxEvent, and for as many bytes that bring no new event.
var errEventTooLarge = errors.Newf("an event is larger than %d bytes, or none comes", maxEvent)

// errNotAnEvent is returned for data that no sound server sends in a stream. What follows it can't be relied on either.
var errNotAnEvent = errors.New("the server sent data that is no event")

// eventReader reads the events of a stream: blocks of lines "name: value" in UTF-8, each ended by a blank line. An event has
// data and an ID, which is a decimal number. Comments and empty blocks between events are left out.
type eventReader struct {
	*bufio.Reader
	// highest is the highest number of an event so far, -1 before the first one.
	highest int64
	// unadvanced is the number of bytes read since the last event with a higher number.
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

// next reads up to and including the blank line that ends an event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *eventReader) next() (streamEvent, error) {
	var b eventBlock
	for {
		line, err := r.readLine(&b)
		if errors.Is(err, io.EOF) && (len(b.raw) > 0 || len(line) > 0) {
			return streamEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return streamEvent{}, err
		}
		text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		switch {
		case bytes.IndexByte(text, '\r') >= 0: // clients may take it for the end of a line
			return streamEvent{}, errors.Wrap(errNotAnEvent, "a line end within a line")
		case len(text) > 0 && text[0] == ':':
			b.raw = b.raw[:len(b.raw)-len(line)]
		case len(text) > 0:
			if err := b.add(text); err != nil {
				return streamEvent{}, err
			}
		case len(b.raw) == len(line):
			b.raw = b.raw[:0]
		default:
			return r.end(b)
		}
	}
}

// end returns the event that a block ends with.
func (r *eventReader) end(b eventBlock) (streamEvent, error) {
	if b.id == "" || !b.hasData {
		return streamEvent{}, errors.Wrap(errNotAnEvent, "no ID or no data")
	}
	if b.number > r.highest {
		r.highest, r.unadvanced = b.number, 0
	}
	return b.streamEvent, nil
}

// readLine reads a line with its end, and appends it to a block.
func (r *eventReader) readLine(b *eventBlock) ([]byte, error) {
	begin := len(b.raw)
	for {
		part, err := r.ReadSlice('\n')
		if r.unadvanced += len(part); r.unadvanced > maxEvent {
			return nil, errEventTooLarge
		}
		b.raw = append(b.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return b.raw[begin:], err
		}
	}
}

// eventBlock is a block that is being read.
type eventBlock struct {
	streamEvent
	hasData bool
}

// add adds a line without its end.
func (b *eventBlock) add(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !utf8.Valid(line) || bytes.ContainsFunc(name, notInFieldName) {
		return errors.Wrap(errNotAnEvent, "a line is no field")
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		b.hasData = true
	case "id":
		number, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || b.id != "" {
			return errors.Wrap(errNotAnEvent, "an ID is no number, or the second one")
		}
		b.id, b.number = string(value), int64(number)
	}
	return nil
}

// notInFieldName reports whether a character can't be in the name of a field.
func notInFieldName(c rune) bool { return c != '-' && (c < 'a' || c > 'z') }
