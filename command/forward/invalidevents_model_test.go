package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// soundStream draws the events of a sound stream, each as sent and as relayed.
func soundStream(t *rapid.T, lineEnd string, number, step int) (sent, relayed []string) {
	for range rapid.IntRange(2, 6).Draw(t, "events") {
		lines := []string{fmt.Sprintf("id: %d", number)}
		for range rapid.IntRange(1, 3).Draw(t, "data lines") {
			lines = append(lines, "data: "+rapid.StringMatching(`[a-zäß語:{}"]{0,12}`).Draw(t, "data"))
		}
		if rapid.Bool().Draw(t, "of a new version") {
			lines = slices.Insert(lines, 0, "martenport-weight-versions: 7")
		}
		event := strings.Join(lines, lineEnd) + lineEnd + lineEnd
		comment := rapid.SampledFrom([]string{"", ":" + lineEnd, ": x" + lineEnd + lineEnd, lineEnd}).Draw(t, "comment")
		sent, relayed = append(sent, comment+event), append(relayed, event)
		number += step
	}
	return sent, relayed
}

// lineEnds makes one line end of all that clients know.
var lineEnds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// looksSound reports whether a client takes the first block of some data for an event with a number, or finds none: nothing
// tells that from a sound stream.
func looksSound(data string) bool {
	for block := range strings.SplitSeq(lineEnds.Replace(data), "\n\n") {
		numbered, hasData, fields := false, false, 0
		for line := range strings.SplitSeq(block, "\n") {
			if line == "" || line[0] == ':' {
				continue
			}
			fields++
			name, value, _ := strings.Cut(line, ":")
			_, err := strconv.ParseUint(strings.TrimPrefix(value, " "), 10, 63)
			numbered = numbered || name == "id" && err == nil
			hasData = hasData || name == "data"
		}
		if fields > 0 {
			return numbered && hasData
		}
	}
	return true
}

// faultyData draws data that ends with a blank line, as a faulty server may send it between two events.
func faultyData(t *rapid.T) string {
	piece := rapid.SampledFrom([]string{
		"data: x", "data", "id: 3", "id: 11", "id:", "x: y", ":", " ", "x", "\x00", "\xff", "\ufeff", "\r", "\r", "\n", "\n", "\r\n", "\r\n\r\n", "\n\n",
	})
	draw := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOfN(piece, 1, 10).Draw(t, "pieces"), "") + "\n\n"
	})
	return draw.Filter(func(s string) bool { return !looksSound(s) }).Draw(t, "faulty data")
}

// TestFaultyDataAnywhereInStream guards against clients that get anything but the next of a sound stream's events, and against
// streams that look complete behind faulty data.
func TestFaultyDataAnywhereInStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first, step := rapid.IntRange(0, 20).Draw(rt, "first number"), rapid.SampledFrom([]int{1, 1, 2, 10}).Draw(rt, "step")
		sent, relayed := soundStream(rt, rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "line end"), first, step)
		lastEvent, place := "", rapid.IntRange(0, len(sent))
		if rapid.Bool().Draw(rt, "taken up") {
			lastEvent = strconv.Itoa(first - step)
		} else if step != 1 {
			place = place.Filter(func(n int) bool { return n != 1 }) // one event does not tell the steps
		}
		at, whole := place.Draw(rt, "place"), strings.Join(relayed, "")
		body := strings.Join(sent[:at], "") + faultyData(rt)
		if rapid.Bool().Draw(rt, "followed by the rest") {
			body += strings.Join(sent[at:], "")
		}
		faulty := reply{status: http.StatusOK, events: true, body: body, broken: rapid.Bool().Draw(rt, "broken off")}
		if got, complete := takeUpStream(t, "once", lastEvent, faulty); got != strings.Join(relayed[:at], "") || complete {
			rt.Errorf("nobody goes on: client got %q, complete %t; want the first %d of %q", got, complete, at, whole)
		}
		rest := strings.Join(sent[rapid.IntRange(0, at).Draw(rt, "first event repeated"):], "")
		if got, complete := takeUpStream(t, "stream", lastEvent, faulty, streamReply(rest)); got != whole || !complete {
			rt.Errorf("resumable: client got %q, complete %t; want %q", got, complete, whole)
		}
	})
}
