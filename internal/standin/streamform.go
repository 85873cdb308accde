package standin

import (
	"fmt"
	"math/rand/v2"
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
	// ids is "tens" if the IDs of events are 10, 20 and so on.
	ids string
	// padding is the number of bytes added to each event.
	padding int
	// inParts makes the server send each event in parts, with pauses between them: the first one ends within a multi-byte
	// character, and the second one within the last line end.
	inParts bool
	// marked adds a mark to each event: the server and the time at which the run began, and the event after which it began.
	marked bool
	// wrong is what half of the runs do wrong; see sequence.
	wrong string
	// garbage is what WrongGarbage sends.
	garbage GarbageFault
}

func streamFormOf(query url.Values) streamForm {
	f := streamForm{framing: query.Get("framing"), lineEnd: "\n", ids: query.Get("ids"), inParts: query.Get("in") == "parts", marked: query.Get("marked") == "true", wrong: query.Get("wrong")}
	if query.Get("lines") == "crlf" {
		f.lineEnd = "\r\n"
	}
	f.garbage = GarbageFault{Kind: Garbage(query.Get("kind")), Place: GarbagePlace(query.Get("place"))}
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
	if f.ids == "tens" {
		id = fmt.Sprintf("id: %d%s", number*idStep, f.lineEnd)
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
func (f streamForm) setLength(w http.ResponseWriter, items []streamItem) {
	if f.framing != FramingLength {
		return
	}
	length := 0
	for _, item := range items {
		length += len(f.text(item))
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

// Wrongs of streams, which requests may name in their query as "wrong".
const (
	// WrongRepeat sends each event twice, and WrongBack some events a second time.
	WrongRepeat, WrongBack = "repeat", "back"
	// WrongAnew begins another run in the middle, WrongEarly before the event that the run is to go on after, and WrongShort
	// ends such a run before that event.
	WrongAnew, WrongEarly, WrongShort = "anew", "early", "short"
	// WrongCut ends within an event, as if the stream were complete.
	WrongCut = "cut"
	// WrongSome leaves out the ID of each event with an even number, and WrongGarbage sends the garbage and has it at the place
	// that the query names.
	WrongSome, WrongGarbage = "some", "garbage"
)

// Wrongs are all of them but WrongGarbage.
var Wrongs = []string{WrongRepeat, WrongBack, WrongAnew, WrongEarly, WrongShort, WrongCut, WrongSome}

// streamItem is an event of a stream, or a part of it with which the stream ends.
type streamItem struct {
	number int
	data   string
	isPart bool
	// withoutID leaves out the ID, and garbage is sent in the place of the event if there is any.
	withoutID bool
	garbage   string
}

// text returns what is sent of an item.
func (f streamForm) text(item streamItem) string {
	if item.garbage != "" {
		return item.garbage
	}
	event := f.event(item.number, item.data)
	switch {
	case item.isPart:
		return event[:len(event)/2]
	case item.withoutID:
		return event[strings.Index(event, "data: "):]
	}
	return event
}

// sequence returns what a stream that goes on after an event sends. other is the data of another run.
func (f streamForm) sequence(after int, data, other string) []streamItem {
	var items []streamItem
	add := func(first, last int, data string) {
		for i := max(1, first); i <= min(last, StreamEvents); i++ {
			items = append(items, streamItem{number: i, data: data})
		}
	}
	wrong, middle := f.wrong, min(after+4, StreamEvents)
	if rand.IntN(2) == 0 || wrong == WrongShort && after <= 1 || after == StreamEvents {
		wrong = ""
	}
	switch wrong {
	case WrongRepeat:
		for i := after + 1; i <= StreamEvents; i++ {
			add(i, i, data)
			add(i, i, data)
		}
	case WrongBack:
		add(after+1, middle, data)
		add(middle-2, StreamEvents, data)
	case WrongAnew:
		add(after+1, middle, data)
		add(1, StreamEvents, other)
	case WrongEarly:
		add(after-1, StreamEvents, other)
	case WrongShort:
		add(1, after-1, other)
	case WrongCut:
		add(after+1, middle, data)
		items[len(items)-1].isPart = true
	case WrongSome:
		add(after+1, StreamEvents, data)
		for n := range items {
			items[n].withoutID = items[n].number%2 == 0
		}
	case WrongGarbage:
		add(after+1, StreamEvents, data)
		items = f.garbage.Kind.insert(items, f.garbage.Place, after)
	default:
		add(after+1, StreamEvents, data)
	}
	return items
}
