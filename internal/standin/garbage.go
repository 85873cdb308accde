package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Garbage is data that ends, and that no sound server sends in a stream; none if empty.
type Garbage string

// Kinds of garbage. All but GarbageOpen have the blank line that ends an event.
const (
	GarbageText  Garbage = "text"
	GarbageBytes Garbage = "bytes"
	// GarbageNoID is an event without an ID, GarbageTwoIDs one with two, and GarbageAhead one whose number is far ahead.
	GarbageNoID, GarbageTwoIDs, GarbageAhead Garbage = "no-id", "two-ids", "ahead"
	// GarbageHalf is the beginning of the next event and then text, and GarbageHalfLine the same, cut within a line.
	GarbageHalf, GarbageHalfLine Garbage = "half", "half-line"
	// GarbageAnswer is a whole answer.
	GarbageAnswer Garbage = "answer"
	// GarbageOpen is text without the end of its line.
	GarbageOpen Garbage = "open"
	// GarbageComments are comments and empty blocks. In a stream a sound server may send them, too.
	GarbageComments Garbage = "comments"
	// GarbageForeign is a whole answer that names another request.
	GarbageForeign Garbage = "foreign"
)

// AllGarbage are all kinds but GarbageForeign, which is only sent after a whole answer.
var AllGarbage = []Garbage{GarbageText, GarbageBytes, GarbageNoID, GarbageTwoIDs, GarbageAhead, GarbageHalf, GarbageHalfLine, GarbageAnswer, GarbageOpen, GarbageComments}

// GarbagePlace is where garbage is in an answer.
type GarbagePlace string

// Places. The first three are within a stream and leave all other answers whole.
const (
	GarbageBefore, GarbageBetween, GarbageAfter GarbagePlace = "before", "between", "after"
	// GarbageInstead is in place of an answer, and GarbageBody in that of its body, without a seal.
	GarbageInstead, GarbageBody GarbagePlace = "instead", "body"
	// GarbageSurplus comes after a whole answer that states its length, and GarbageSurplusChunks after one in chunks. Both
	// leave orders and calls for the report whole.
	GarbageSurplus, GarbageSurplusChunks GarbagePlace = "surplus", "surplus-chunks"
)

// GarbageInStream and GarbageElsewhere are all places.
var (
	GarbageInStream  = []GarbagePlace{GarbageBefore, GarbageBetween, GarbageAfter}
	GarbageElsewhere = []GarbagePlace{GarbageInstead, GarbageBody, GarbageSurplus, GarbageSurplusChunks}
)

// GarbageFault states which garbage a Server sends.
type GarbageFault struct {
	Kind  Garbage
	Place GarbagePlace
	// Once leaves all answers after the first one sound.
	Once bool
}

// Query returns the query that sets the fault at PathGarbage.
func (f GarbageFault) Query() url.Values {
	return url.Values{"kind": {string(f.Kind)}, "place": {string(f.Place)}, "once": {strconv.FormatBool(f.Once)}}
}

// garbageAhead is how far the number of an event is ahead.
const garbageAhead = 900

// data returns garbage in the place of the event with the given number.
func (g Garbage) data(number int) string {
	switch g {
	case GarbageText:
		return "out of memory\n\n"
	case GarbageBytes:
		return "\x00\xff\xfe\x01\n\n"
	case GarbageNoID:
		return "data: x\n\n"
	case GarbageTwoIDs:
		return fmt.Sprintf("id: %d\nid: %d\ndata: x\n\n", number, number+1)
	case GarbageAhead:
		return fmt.Sprintf("id: %d\ndata: x\n\n", number+garbageAhead)
	case GarbageHalf:
		return fmt.Sprintf("id: %d\nout of memory\ndata: x\n\n", number)
	case GarbageHalfLine:
		return fmt.Sprintf("id: %d\nda\n\n", number)
	case GarbageComments:
		return ": x\n\n\n\n"
	case GarbageAnswer:
		return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx\n\n"
	default:
		return "out of memory"
	}
}

// insert inserts garbage into a stream that goes on after an event. Before the first event nothing tells that a number is
// far ahead, so that such an event comes later.
func (g Garbage) insert(items []streamItem, place GarbagePlace, after int) []streamItem {
	const begun = 4
	at := 0
	switch {
	case place == GarbageAfter:
		at = len(items)
	case place == GarbageBetween || g == GarbageAhead:
		at = min(begun, len(items))
	}
	return slices.Insert(items, at, streamItem{garbage: g.data(after + at + 1)})
}

// garbageState is which garbage a Server sends, and how often it did.
type garbageState struct {
	mu    sync.Mutex
	fault GarbageFault // guarded by mu
	sent  int          // number of answers with garbage; guarded by mu
}

// SetGarbage makes the server send garbage from now on, none if the kind is empty.
func (s *Server) SetGarbage(f GarbageFault) {
	s.garbage.mu.Lock()
	defer s.garbage.mu.Unlock()
	s.garbage.fault = f
}

// GarbageSent returns in how many answers the server has sent garbage.
func (s *Server) GarbageSent() int {
	s.garbage.mu.Lock()
	defer s.garbage.mu.Unlock()
	return s.garbage.sent
}

// take returns the fault of an answer if its place is one of the given ones.
func (g *garbageState) take(places ...GarbagePlace) (GarbageFault, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fault
	if f.Kind == "" || !slices.Contains(places, f.Place) {
		return GarbageFault{}, false
	}
	if f.Once {
		g.fault = GarbageFault{}
	}
	g.sent++
	return f, true
}

// takeFor returns the fault of the whole answer to a call, and whether there is one.
func (g *garbageState) takeFor(r *http.Request) (GarbageFault, bool) {
	switch {
	case strings.HasPrefix(r.URL.Path, pathOfStandin):
		return GarbageFault{}, false
	case r.Header.Get("Martenport-Attempt-Id") == "":
		return g.take(GarbageInstead, GarbageBody)
	default:
		return g.take(GarbageElsewhere...)
	}
}

// PathGarbage is the path that calls SetGarbage: POST with GarbageFault.Query.
const PathGarbage = "/standin/garbage"

func (s *Server) serveGarbage(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.SetGarbage(GarbageFault{Kind: Garbage(query.Get("kind")), Place: GarbagePlace(query.Get("place")), Once: query.Get("once") == "true"})
	w.WriteHeader(http.StatusNoContent)
}

// otherRun returns the ID of another request that the server runs or has run, "" if there is none.
func (s *Server) otherRun(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.runs {
		if other != id {
			return other
		}
	}
	return ""
}

// sendGarbage runs a request and answers it with garbage.
func (s *Server) sendGarbage(w http.ResponseWriter, r *http.Request, f GarbageFault) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Martenport-Attempt-Id")
	if id != "" && r.Header.Get("Kv-From") == "" {
		s.countRun(id)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	data := f.Kind.data(1)
	if f.Kind == GarbageForeign {
		other := s.otherRun(id)
		data = s.framedAnswer(other, "answer to "+other, false)
	}
	switch f.Place {
	case GarbageSurplus, GarbageSurplusChunks:
		_, _ = io.WriteString(conn, s.framedAnswer(id, wholeAnswer(r, body), f.Place == GarbageSurplusChunks)+data)
		closeAtEnd(s.ended, conn)
	case GarbageBody:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	default:
		_, _ = io.WriteString(conn, data)
	}
}
