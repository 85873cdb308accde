package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// Servers that say something of themselves in their answers: that they leave, how many requests a
// second they take, or that they want a rest.

// What servers say, and the bounds on what they get then.
const (
	saidLimit  = 2.0
	saidRest   = 2 * time.Second
	drainBound = 2 * time.Second
	// limitFrom is when the bound on a limit begins after it was first named, and limitWindow the
	// time over which requests are counted.
	limitFrom, limitWindow = 3 * time.Second, 4 * time.Second
	// restNotice is what is on its way when a rest begins, restAllowed what may come after.
	restNotice  = 500 * time.Millisecond
	restAllowed = 2
	// saidSlack is how much later than it was sent a request may arrive on a busy machine.
	saidSlack = 500 * time.Millisecond
)

// limitBound is how many requests may reach a server in a window that names saidLimit.
const limitBound = 1.5*saidLimit*4 + 5

// sayFault has a server say something for a while. One that leaves ends and starts anew then.
func (r *run) sayFault(ctx context.Context, server int) fault {
	words := []standin.Words{{Limit: strconv.FormatFloat(saidLimit, 'g', -1, 64)}, {Rest: strconv.FormatFloat(saidRest.Seconds(), 'g', -1, 64)}, {Leaving: true}}[r.random.IntN(3)]
	p := r.servers[server]
	longer := time.Duration(r.random.IntN(4)) * time.Second
	return fault{fmt.Sprintf("%s says %+v", p.name, words), func() { r.say(server, words) }, func() {
		pause.For(ctx, longer)
		if !words.Leaving {
			r.say(server, standin.Words{})
			return
		}
		r.troubles.begin(r.serviceAt(server))
		r.collect(server)
		p.end(syscall.SIGKILL, time.Second)
		_ = p.start() // a failed start shows as not coming back
		r.troubles.end(r.serviceAt(server))
	}}
}

// say has a server say something from now on; one that does not answer has ended.
func (r *run) say(server int, w standin.Words) {
	query := url.Values{"limit": {w.Limit}, "rest": {w.Rest}, "leaving": {strconv.FormatBool(w.Leaving)}}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+r.addr[server]+standin.PathSay+"?"+query.Encode(), "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// counted is an arrival of a request for which an instance in touch answers, that nothing
// disturbed on its way.
type counted struct {
	standin.Arrival
	entry int
	// calm is since when the instance has not been disturbed.
	calm time.Time
}

// saidBreaches needs mu. It checks what reached servers after they had said something.
func (s *seen) saidBreaches() []Breach {
	var found []Breach
	for name, state := range s.servers {
		var list []counted
		for _, a := range state.Arrivals {
			if t := s.tries[a.ID]; t.inTouch && t.clear {
				list = append(list, counted{a, t.entry, t.calm})
			}
		}
		slices.SortFunc(list, func(a, b counted) int { return a.At.Compare(b.At) })
		found = append(found, limitBreaches(name, list)...)
		found = append(found, leavingBreaches(name, list)...)
		found = append(found, restBreaches(name, list)...)
	}
	return found
}

// limitBreaches checks the sum over all instances while a limit is named.
func limitBreaches(server string, list []counted) []Breach {
	most, begin := 0, time.Time{}
	var window []time.Time
	for _, a := range list {
		if a.Said.Limit == "" {
			begin, window = time.Time{}, nil
			continue
		}
		if begin.IsZero() {
			begin = a.At
		}
		if a.At.Sub(begin) < limitFrom {
			continue
		}
		window = append(window, a.At)
		for a.At.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	if most <= limitBound {
		return nil
	}
	return []Breach{{"a server's limit is held to", fmt.Sprintf("%s got %d in %s", server, most, limitWindow)}}
}

// leavingBreaches checks that an instance sends nothing to a server that has told it that it
// leaves.
func leavingBreaches(server string, list []counted) []Breach {
	var found []Breach
	told := map[int]time.Time{}
	for _, a := range list {
		if !a.Said.Leaving {
			continue
		}
		at, known := told[a.entry]
		if !known || at.Before(a.calm) {
			told[a.entry] = a.At
			continue
		}
		if late := a.At.Sub(at); late > drainBound+saidSlack {
			found = append(found, Breach{"a leaving server gets nothing new", fmt.Sprintf("%s of entry-%d reached %s %s after the instance was told", a.ID, a.entry, server, late)})
		}
	}
	return found
}

// restBreaches checks that an instance sends no more than is allowed to a server in a rest for which
// that has asked it.
func restBreaches(server string, list []counted) []Breach {
	var found []Breach
	for i, asked := range list {
		if asked.Said.Rest == "" {
			continue
		}
		n := 0
		for _, a := range list[i+1:] {
			since := a.At.Sub(asked.At)
			if a.entry == asked.entry && a.calm.Before(asked.At) && since > restNotice+saidSlack && since < saidRest {
				n++
			}
		}
		if n > restAllowed {
			found = append(found, Breach{"a server gets the rest that it asks for", fmt.Sprintf("%s got %d of entry-%d", server, n, asked.entry)})
		}
	}
	return found
}
