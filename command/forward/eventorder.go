package forward

import (
	"bytes"
	"strconv"
)

// A stream may go on at another server after the last event that its client has. The server is asked for the events after
// that one, but may send some of the earlier ones again. It has begun anew, with another text, if the last one is not the same.

// eventPlace is the place of an event in its stream.
type eventPlace int

const (
	// eventFollows: the event is the next one.
	eventFollows eventPlace = iota
	// eventRepeated: the client has the event.
	eventRepeated
	// eventMisplaced: the event does not follow those that the client has.
	eventMisplaced
)

// eventOrder follows the IDs of a stream's events over all servers that send a part of it.
type eventOrder struct {
	// lastID is the ID of the last event that the client has, "" if it has none, and last the same as a number. It is
	// valid only if numbered is set.
	lastID   string
	last     int64
	numbered bool
	// lastRaw is that event as it was relayed; nil if another instance relayed it.
	lastRaw []byte
	// counted is set while the IDs that this instance has relayed count the events, and steps is how often one followed
	// another.
	counted bool
	steps   int
	relayed int
	// joining is set until a part brings its first new event, and sameRun if the part belongs to the run before. behind is
	// set if the part has repeated an event before the last one, and neither that one nor a new one since.
	joining, sameRun, behind bool
}

// newEventOrder returns the order of a stream of which the client has the events up to lastID, "" for none.
func newEventOrder(lastID string) eventOrder {
	o := eventOrder{counted: true}
	o.setLast(lastID)
	return o
}

func (o *eventOrder) setLast(id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	o.lastID, o.last, o.numbered = id, n, err == nil
}

// beginPart begins the part of a server.
func (o *eventOrder) beginPart(sameRun bool) {
	o.joining, o.sameRun, o.behind = true, sameRun, false
}

// place returns the place of an event that was received.
func (o *eventOrder) place(e streamEvent) eventPlace {
	if !o.numbered {
		return eventFollows
	}
	if e.number <= o.last {
		return o.placeRepeated(e)
	}
	sameRun := o.joining && o.sameRun
	if o.behind && !sameRun || o.expectsNext() && e.number != o.last+1 {
		return eventMisplaced
	}
	return eventFollows
}

// expectsNext reports whether only the next number may follow: the numbers have counted the events so far.
func (o *eventOrder) expectsNext() bool {
	return o.counted && (o.steps > 0 || o.joining && o.relayed > 0)
}

// placeRepeated returns the place of an event with an ID that the client has.
func (o *eventOrder) placeRepeated(e streamEvent) eventPlace {
	o.behind = e.number != o.last
	sameRun := o.joining && o.sameRun
	if !o.behind && !sameRun && !bytes.Equal(e.raw, o.lastRaw) {
		return eventMisplaced
	}
	return eventRepeated
}

// record records that an event was relayed.
func (o *eventOrder) record(e streamEvent) {
	before, numbered := o.last, o.numbered
	o.joining, o.behind = false, false
	o.setLast(e.id)
	o.lastRaw = e.raw
	o.relayed++
	if !numbered {
		return
	}
	o.steps++
	o.counted = o.counted && o.last == before+1
}
