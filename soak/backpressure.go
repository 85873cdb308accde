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

// Servers report state in the headers of their answers: that they leave, how many requests per second they accept,
// or that they want no requests for a while.

// What servers report, and the bounds on the requests that they get afterwards.
const (
	advertisedLimit = 2.0
	advertisedRest  = 2 * time.Second
	// leavingBound is how long requests may still be sent to a server that has reported that it leaves.
	leavingBound = 2 * time.Second
	// limitGrace is the time from the first answer with a limit until the limit is checked, and limitWindow the
	// time over which requests are counted.
	limitGrace, limitWindow = 3 * time.Second, 4 * time.Second
	// restGrace is how long requests in transit may still arrive after a server asks for a rest. At most
	// maxDuringRest may arrive after that.
	restGrace     = 500 * time.Millisecond
	maxDuringRest = 2
	// arrivalSlack is how long after it was sent a request may arrive on a loaded machine.
	arrivalSlack = 500 * time.Millisecond
)

// limitBound is the maximum number of requests that may reach a server with advertisedLimit in a limitWindow.
const limitBound = 1.5*advertisedLimit*4 + 5

// backpressureFault makes a server report a limit, a rest or that it leaves for a while. A server that leaves is
// restarted at the end.
func (r *run) backpressureFault(ctx context.Context, server int) fault {
	signals := []standin.Backpressure{{Limit: strconv.FormatFloat(advertisedLimit, 'g', -1, 64)}, {Rest: strconv.FormatFloat(advertisedRest.Seconds(), 'g', -1, 64)}, {Leaving: true}}[r.random.IntN(3)]
	p := r.servers[server]
	extra := time.Duration(r.random.IntN(4)) * time.Second
	return fault{fmt.Sprintf("%s says %+v", p.name, signals), func() { r.setBackpressure(server, signals) }, func() {
		pause.For(ctx, extra)
		if !signals.Leaving {
			r.setBackpressure(server, standin.Backpressure{})
			return
		}
		r.disturbances.begin(r.serverService(server))
		r.collectState(server)
		p.stop(syscall.SIGKILL, time.Second)
		_ = p.start() // a failed start shows up in the recovery checks
		r.disturbances.end(r.serverService(server))
	}}
}

// setBackpressure sets what a server reports in its answers. It does nothing if the server does not answer.
func (r *run) setBackpressure(server int, b standin.Backpressure) {
	r.postToServer(server, standin.PathBackpressure, url.Values{"limit": {b.Limit}, "rest": {b.Rest}, "brittle": {b.Brittle}, "leaving": {strconv.FormatBool(b.Leaving)}})
}

// setBrittle sets whether a server ends if it has to reject more than toleratedRejections in a second.
func (r *run) setBrittle(server int, on bool) {
	r.postToServer(server, standin.PathBrittle, url.Values{"on": {strconv.FormatBool(on)}, "tolerated": {strconv.Itoa(toleratedRejections)}})
}

// postToServer posts to a server. It does nothing if the server does not answer.
func (r *run) postToServer(server int, path string, query url.Values) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+r.serverAddresses[server]+path+"?"+query.Encode(), "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// stableArrival is an arrival of a request that a stable instance sent and that no fault affected.
type stableArrival struct {
	standin.Arrival
	entry int
	// entryUndisturbedSince is the time since when no fault has affected the instance.
	entryUndisturbedSince time.Time
}

// backpressureViolations checks what reaches servers after they have reported a limit, a rest or that they leave.
// h.mu must be held.
func (h *history) backpressureViolations() []Violation {
	var found []Violation
	for name, state := range h.servers {
		var list []stableArrival
		for _, a := range state.Arrivals {
			if req := h.requests[a.ID]; req.entryStable && req.undisturbed {
				list = append(list, stableArrival{a, req.entry, req.entryUndisturbedSince})
			}
		}
		slices.SortFunc(list, func(a, b stableArrival) int { return a.At.Compare(b.At) })
		found = append(found, limitViolations(name, list)...)
		found = append(found, leavingViolations(name, list)...)
		found = append(found, restViolations(name, list)...)
	}
	return found
}

// limitViolations checks the total rate of all instances while the server reports a limit.
func limitViolations(server string, list []stableArrival) []Violation {
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
		if a.At.Sub(begin) < limitGrace {
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
	return []Violation{{"a server's limit is held to", fmt.Sprintf("%s got %d in %s", server, most, limitWindow)}}
}

// leavingViolations checks that an instance sends nothing to a server leavingBound after an answer of the server has
// told the instance that it leaves.
func leavingViolations(server string, list []stableArrival) []Violation {
	var found []Violation
	notified := map[int]time.Time{}
	for _, a := range list {
		if !a.Said.Leaving {
			continue
		}
		notifiedAt, known := notified[a.entry]
		if !known || notifiedAt.Before(a.entryUndisturbedSince) {
			notified[a.entry] = a.At
			continue
		}
		if late := a.At.Sub(notifiedAt); late > leavingBound+arrivalSlack {
			found = append(found, Violation{"a leaving server gets nothing new", fmt.Sprintf("%s of entry-%d reached %s %s after the instance was told", a.ID, a.entry, server, late)})
		}
	}
	return found
}

// restViolations checks that an instance sends at most maxDuringRest requests to a server during a rest that the
// server asked the instance for.
func restViolations(server string, list []stableArrival) []Violation {
	var found []Violation
	for i, restSignal := range list {
		if restSignal.Said.Rest == "" {
			continue
		}
		n := 0
		for _, a := range list[i+1:] {
			since := a.At.Sub(restSignal.At)
			if a.entry == restSignal.entry && a.entryUndisturbedSince.Before(restSignal.At) && since > restGrace+arrivalSlack && since < advertisedRest {
				n++
			}
		}
		if n > maxDuringRest {
			found = append(found, Violation{"a server gets the rest that it asks for", fmt.Sprintf("%s got %d of entry-%d", server, n, restSignal.entry)})
		}
	}
	return found
}
