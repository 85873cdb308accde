package forward

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// A server in need says in its answers how many requests it takes from all instances together,
// or that one instance should leave it alone for a while. That holds for every send: first ones,
// repeated ones, the rest of a stream, calls of servers, and those of suspects. So it is asked
// right before each, in one place, and not when the request arrives: one may have waited for a
// load since.

// Intake says what servers take at the moment.
type Intake interface {
	// RetryAfterUntil returns until when this instance may send nothing to a server; the zero time
	// if it does not rest.
	RetryAfterUntil(s serving.Server) time.Time
	// Limited reports whether a server limits what it takes, and spareFrom from when a request
	// may be sent to it that can go elsewhere, as far as is known.
	Limited(s serving.Server) (limited bool, spareFrom time.Time)
	// Admit asks whether a request may be sent to a server now. only: no other server is known
	// to which it could go.
	Admit(ctx context.Context, s serving.Server, t quota.Turn, only bool) Admission
}

// Admission is the answer to a request that asks whether it may be sent.
type Admission struct {
	Granted bool
	// GiveBack takes back what was granted, if nothing is sent after all.
	GiveBack func()
	// After is when to ask again if it is not granted.
	After time.Duration
	// Rate is how many requests a second the server takes.
	Rate float64
}

// intake is what one request knows of the servers that limit what they take.
type intake struct {
	// hasAlternative: the server chosen last is not the only one to which the request can go.
	hasAlternative bool
	// turns is when the request may ask again, by server. It asks no more than mostTurns servers.
	turns map[string]time.Time
	// closed is when the first of the servers that cannot be asked now can be; the zero time if
	// there is none. It is set by each choice.
	closed time.Time
	// held are those servers.
	held []string
	// giveBack takes back what was granted to the next send.
	giveBack func()
}

// available returns the indices of the servers to which the request may be sent now, as far as is
// known: those that take what comes, and of those with a limit the ones that can spare something,
// or all if there are no others.
func (t *trip) available(servers []serving.Server) []int {
	now := clock.Now()
	t.intake.closed, t.intake.held = time.Time{}, nil
	var free, spare, limited []int
	for i, s := range servers {
		if at := t.notBefore(s); at.After(now) {
			t.unavailableUntil(s, at)
			continue
		}
		_, asked := t.intake.turns[s.ID]
		switch isLimited, spareFrom := t.f.intake.Limited(s); {
		case !isLimited:
			free = append(free, i)
		case !asked && len(t.intake.turns) >= mostTurns:
		case spareFrom.After(now):
			limited = append(limited, i)
		default:
			spare = append(spare, i)
		}
	}
	t.intake.hasAlternative = len(free) > 0
	if t.intake.hasAlternative {
		return append(free, spare...)
	}
	return append(spare, limited...)
}

// notBefore returns when the server may be asked, by its rest and the request's turn there.
func (t *trip) notBefore(s serving.Server) time.Time {
	return later(t.f.intake.RetryAfterUntil(s), t.intake.turns[s.ID])
}

// unavailableUntil notes that a server can be asked at a time.
func (t *trip) unavailableUntil(s serving.Server, at time.Time) {
	t.intake.held = append(t.intake.held, s.ID)
	if t.intake.closed.IsZero() || at.Before(t.intake.closed) {
		t.intake.closed = at
	}
}

// admit asks whether the request may be sent to the server now, and notes when it may ask again
// if not.
func (t *trip) admit(ctx context.Context, server serving.Server) bool {
	if t.f.intake.RetryAfterUntil(server).After(clock.Now()) {
		return false // it may have asked for that since it was chosen
	}
	if limited, _ := t.f.intake.Limited(server); !limited {
		return true
	}
	_, waited := t.intake.turns[server.ID]
	a := t.f.intake.Admit(ctx, server, quota.Turn{Spare: t.intake.hasAlternative || deferrable(t.route), Waited: waited}, !t.intake.hasAlternative)
	if a.Granted {
		t.intake.giveBack = a.GiveBack
		return true
	}
	if t.intake.turns == nil {
		t.intake.turns = map[string]time.Time{}
	}
	t.intake.turns[server.ID] = clock.Now().Add(a.After)
	t.f.log.WithFields(t.fields()).WithFields(logrus.Fields{
		"server": server.ID, "rate": a.Rate, "spare": t.intake.hasAlternative, "after_ms": a.After.Milliseconds(),
	}).Info("server takes no more now")
	return false
}

// returnAdmission gives back what was taken for a send that reached no server.
func (t *trip) returnAdmission() {
	if t.intake.giveBack != nil {
		t.intake.giveBack()
	}
	t.intake.giveBack = nil
}

const (
	// mostTurns is how many limited servers a request asks. Where all of many servers take no more, one
	// that asked each would be refused late, and the holder would be asked a hundred times for it.
	mostTurns = 3
	// longestTurn bounds how long a request waits here for a server that limits what it takes,
	// or rests: a client that is told to come back then can be served by another instance
	// meanwhile.
	longestTurn = time.Second
	// restSpread is the part of a rest over which clients are told to come back after it, and
	// longestSpread bounds that: at its end the server should not get all of them at once.
	restSpread    = 0.5
	longestSpread = time.Second
)

// awaitTurn waits until one of the servers that cannot be asked now can be, or refuses the request
// at once if that takes too long.
func (t *trip) awaitTurn(ctx context.Context) *verdict.Failure {
	wait := clock.Until(t.intake.closed)
	if wait > longestTurn || wait+t.f.params.FirstEvent >= clock.Until(t.due()) {
		return t.heldBack(wait)
	}
	started := clock.Now()
	t.waits.next(serving.WaitTurn)
	defer func() { t.waits.add(clock.Since(started)) }()
	return t.pauseFor(ctx, max(wait, time.Millisecond))
}

// heldBack refuses a request for which no server takes anything for so long. Turns at limited
// servers are given one after the other; rests end for all at the same moment.
func (t *trip) heldBack(wait time.Duration) *verdict.Failure {
	spread := min(longestSpread, time.Duration(restSpread*float64(wait)))
	after := wait + time.Duration(rand.Float64()*float64(spread))
	return verdict.Refuse(verdict.ReasonHeldBack, "no server of %s that could run it takes anything for %s: all limit what they take, or rest",
		t.service.Name, round(wait)).After(after)
}

// heldFor names the servers for which a request waited last or was refused, bounded.
func (i *intake) heldFor() string {
	const most = 8
	return strings.Join(i.held[:min(most, len(i.held))], ",")
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
