package standin

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Framings of an answer, which requests for streams may name in their query as "framing".
const (
	FramingChunks = "chunks"
	FramingLength = "length"
	FramingNone   = "none"
)

// streamForm is the form of a stream. A request may ask for it in its query, so that one server sends streams of all
// forms.
type streamForm struct {
	framing, lineEnd string
	// ids is "tens" if the IDs of events are 10, 20 and so on, and "some" if only those with an odd number have one.
	ids string
	// padding is the number of bytes added to each event.
	padding int
	// inParts makes the server send each event in parts, with pauses between them: the first one ends within a multi-byte
	// character, and the second one within the last line end.
	inParts bool
	// marked adds a mark to each event: the server and the time at which the run began, and the event after which it began.
	marked bool
}

func streamFormOf(query url.Values) streamForm {
	f := streamForm{framing: query.Get("framing"), lineEnd: "\n", ids: query.Get("ids"), inParts: query.Get("in") == "parts", marked: query.Get("marked") == "true"}
	if query.Get("lines") == "crlf" {
		f.lineEnd = "\r\n"
	}
	f.padding, _ = strconv.Atoi(query.Get("padding"))
	return f
}

// idStep is the step of IDs that are tens.
const idStep = 10

// number returns the number of the event with the given ID; 0 if there is none.
func (f streamForm) number(id string) int {
	n, _ := strconv.Atoi(id)
	if f.ids == "tens" {
		return n / idStep
	}
	return n
}

// event returns an event with the given data.
func (f streamForm) event(number int, data string) string {
	id := fmt.Sprintf("id: %d%s", number, f.lineEnd)
	switch {
	case f.ids == "tens":
		id = fmt.Sprintf("id: %d%s", number*idStep, f.lineEnd)
	case f.ids == "some" && number%2 == 0:
		id = ""
	}
	if f.marked {
		data = fmt.Sprintf("%s #%d", data, number)
	}
	return id + "data: " + data + strings.Repeat(".", f.padding) + f.lineEnd + f.lineEnd
}

// mark returns the data of the events of a run that begins after the given one.
func (s *Server) mark(f streamForm, data string, after int) string {
	if !f.marked {
		return data
	}
	return fmt.Sprintf("%s %s@%d after %d €", data, s.params.ID, time.Now().UnixMicro(), after)
}

// setLength states the length of a stream if its form demands it.
func (f streamForm) setLength(w http.ResponseWriter, after int, data string) {
	if f.framing != FramingLength {
		return
	}
	length := 0
	for i := after + 1; i <= StreamEvents; i++ {
		length += len(f.event(i, data))
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
}

// parts returns the parts of an event that are sent one after the other.
func (f streamForm) parts(event string) []string {
	within := strings.Index(event, "€") + 1
	if !f.inParts || within == 0 {
		return []string{event}
	}
	last := len(event) - 1
	return []string{event[:within], event[within:last], event[last:]}
}

// sendEvent sends an event, with pauses between its parts that take half of the given pause, and reports whether that was
// possible.
func (f streamForm) sendEvent(w http.ResponseWriter, event string, pause time.Duration) bool {
	for n, part := range f.parts(event) {
		if n > 0 {
			time.Sleep(pause / 4)
		}
		if _, err := w.Write([]byte(part)); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush() // a failed flush shows at the next write
	}
	return true
}
