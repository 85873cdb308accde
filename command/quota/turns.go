package quota

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Turn says what is known of a request that asks for one send to a server that limits what it
// takes.
type Turn struct {
	// Spare: it can go to another server, or may be refused for load. It takes only what is
	// above half of what may be saved up: the rest is for those that neither can nor may.
	Spare bool
	// Waited: it was told when to ask again, and does.
	Waited bool
}

const (
	// spareKeep is the part of what may be saved up that is kept from spare requests.
	spareKeep = 0.5
	// longestTurns bounds how far ahead turns are given: few clients wait longer.
	longestTurns = 10 * time.Second
)

// AskInTurn answers a question for one send to a server, like Ask. Requests that have no other
// server are told to ask again one after the other, at the times at which there will be
// something for each: if all came back at the moment at which the first is let run, the others
// would be refused again. What is promised to them is not given to those that come meanwhile.
func (l *Lender) AskInTurn(server string, limit serving.Limit, t Turn, now time.Time) Answer {
	a := l.account(server, limit, now)
	l.settle(a, now)
	promised := max(0, a.turns.Sub(now).Seconds()) * limit.Rate
	needed := 1.0
	switch {
	case t.Spare:
		needed = max(1+promised, 1+spareKeep*a.free.Saved)
	case !t.Waited:
		needed = 1 + promised
	}
	// Not all come back to whom turns were promised: what is full is let run.
	if a.own.level >= min(needed, max(1, a.free.Saved)) && a.own.Take(1) {
		return Answer{Granted: true, Known: true}
	}
	if !t.Spare && !t.Waited {
		a.promise(limit, now)
	}
	after := time.Duration(max(0, needed-a.own.level) / limit.Rate * float64(time.Second))
	return Answer{Known: true, After: max(after+time.Millisecond, leastTurn)} // rounded up
}

// leastTurn is the shortest time after which a request asks again.
const leastTurn = 20 * time.Millisecond

// promise gives the next turn away.
func (a *account) promise(limit serving.Limit, now time.Time) {
	if a.turns.Before(now) {
		a.turns = now
	}
	next := a.turns.Add(time.Duration(float64(time.Second) / limit.Rate))
	if next.Sub(now) <= longestTurns {
		a.turns = next
	}
}
