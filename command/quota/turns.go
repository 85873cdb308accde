package quota

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Turn describes a request that asks to be sent to a server with a rate limit.
type Turn struct {
	// Spare is set if the request can go to another server, or may be refused under load. Such a
	// request is granted only from the upper half of the capacity; the lower half is kept for requests
	// without an alternative.
	Spare bool
	// Waited is set if the request was given a time at which to ask again, and now does so.
	Waited bool
}

const (
	// spareReserve is the fraction of the capacity that is kept from spare requests.
	spareReserve = 0.5
	// maxTurnDelay bounds how far in the future turns are assigned. Few clients wait longer.
	maxTurnDelay = 10 * time.Second
)

// GrantInTurn answers a query for one send to a server, like Grant. Requests without an alternative
// server are given different times at which to ask again, each the time at which the limit will suffice
// for that request: if all asked again when the first can be granted, the others would be refused again.
// What is promised to them is not granted to requests that arrive in the meantime.
func (l *Lender) GrantInTurn(server string, limit serving.Limit, t Turn, now time.Time) Answer {
	a := l.account(server, limit, now)
	l.refill(a, now)
	promised := max(0, a.promisedUntil.Sub(now).Seconds()) * limit.Rate
	needed := 1.0
	switch {
	case t.Spare:
		needed = max(1+promised, 1+spareReserve*a.unlent.Saved)
	case !t.Waited:
		needed = 1 + promised
	}
	// Some requests that were promised a turn never ask again, so a full reserve is always granted from.
	if a.reserve.level >= min(needed, max(1, a.unlent.Saved)) && a.reserve.Take(1) {
		return Answer{Granted: true, Known: true}
	}
	if !t.Spare && !t.Waited {
		a.reserveTurn(limit, now)
	}
	after := time.Duration(max(0, needed-a.reserve.level) / limit.Rate * float64(time.Second))
	return Answer{Known: true, After: max(after+time.Millisecond, minTurnDelay)} // rounded up to the next millisecond
}

// minTurnDelay is the shortest delay before a request is to ask again.
const minTurnDelay = 20 * time.Millisecond

// reserveTurn assigns the next turn.
func (a *account) reserveTurn(limit serving.Limit, now time.Time) {
	if a.promisedUntil.Before(now) {
		a.promisedUntil = now
	}
	next := a.promisedUntil.Add(time.Duration(float64(time.Second) / limit.Rate))
	if next.Sub(now) <= maxTurnDelay {
		a.promisedUntil = next
	}
}
