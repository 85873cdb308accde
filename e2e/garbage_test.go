package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// garbageRequests is the number of streams that are sent at once.
const garbageRequests = 12

// sendMarked sends marked streams at once, of all framings, on both routes, and some with the old protocol.
func (f *entryFleet) sendMarked(name string) []streamPart {
	framings := []string{standin.FramingChunks, standin.FramingLength, standin.FramingNone}
	parts := make([]streamPart, garbageRequests)
	var wg sync.WaitGroup
	for n := range parts {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", name, n)
			form := "marked=true&framing=" + framings[n%len(framings)]
			parts[n] = f.receive(0, routeOf(n), form, name, standin.ClientHeader(id, "m1", streamTimeout), 0, n%4 == 3)
			parts[n].id = id
		})
	}
	wg.Wait()
	return parts
}

// routeOf returns the route of the nth stream.
func routeOf(n int) string { return []string{"stream", "once"}[n/3%2] }

// TestClientsGetEventsThatNoRunMade guards against data of a faulty server that reaches clients as a part of their streams,
// and against streams that end by it though another server could go on.
func TestClientsGetEventsThatNoRunMade(t *testing.T) {
	f := newEntryFleet(t)
	var servers []*standin.Server
	for n := range 3 {
		servers = append(servers, f.announceServer(t.Context(), fmt.Sprint("engine-", n), engineService))
	}
	f.startEntry()
	whole, broken, invalid, sent := 0, 0, 0, 0
	for n, fault := range streamGarbage() {
		faulty := servers[n%len(servers)]
		before := faulty.GarbageSent()
		faulty.SetGarbage(fault)
		parts := f.sendMarked(fmt.Sprint("case-", n))
		faulty.SetGarbage(standin.GarbageFault{})
		sent += faulty.GarbageSent() - before
		for i, part := range parts {
			complete := part.whole && part.status == http.StatusOK
			if wrong := orderFault([]streamPart{part}); wrong != "" {
				invalid++
				t.Errorf("%+v: %s (%s): %s", fault, part.id, part.form, wrong)
			}
			switch {
			case complete:
				whole++
			case routeOf(i) == "stream":
				t.Errorf("%+v: %s (%s) is not whole: status %d, %d events", fault, part.id, part.form, part.status, len(part.events))
			default:
				broken++
			}
		}
	}
	t.Logf("garbage in %d runs: %d streams whole, %d broken off, %d with events that no run made", sent, whole, broken, invalid)
	if cases := len(streamGarbage()); sent < cases || broken > sent {
		t.Errorf("garbage in %d runs in %d cases, %d streams broken off", sent, cases, broken)
	}
}

// streamGarbage are the faults of a server that sends garbage in its streams.
func streamGarbage() (faults []standin.GarbageFault) {
	for _, kind := range standin.AllGarbage {
		for _, place := range standin.GarbageInStream {
			faults = append(faults, standin.GarbageFault{Kind: kind, Place: place})
		}
	}
	return faults
}

// otherGarbage are the faults of a server that sends garbage in the place of answers, or after them. An answer that names no
// request and comes after a whole one is not among them: see endlessFaults.
func otherGarbage() (faults []standin.GarbageFault) {
	for _, place := range standin.GarbageElsewhere {
		for _, kind := range []standin.Garbage{standin.GarbageText, standin.GarbageBytes, standin.GarbageNoID} {
			faults = append(faults, standin.GarbageFault{Kind: kind, Place: place})
		}
	}
	for _, place := range []standin.GarbagePlace{standin.GarbageSurplus, standin.GarbageSurplusChunks} {
		faults = append(faults, standin.GarbageFault{Kind: standin.GarbageForeign, Place: place})
	}
	return append(faults, standin.GarbageFault{Kind: standin.GarbageAnswer, Place: standin.GarbageInstead}, standin.GarbageFault{Kind: standin.GarbageText, Place: standin.GarbageInstead, Once: true})
}

// TestGarbageReachesOtherRequests guards against a server of several that sends garbage, also in reports, and that costs an
// instance other requests or breaks their rules.
func TestGarbageReachesOtherRequests(t *testing.T) {
	const caseTime = 300 * time.Millisecond
	f := newEntryFleet(t)
	var sound []*standin.Server
	for n := range 3 {
		sound = append(sound, f.announceServer(t.Context(), fmt.Sprint("plain-", n), plainService), f.announceServer(t.Context(), fmt.Sprint("engine-", n), engineService))
	}
	f.startEntry()
	for n, fault := range otherGarbage() {
		ctx, cancel := context.WithCancel(t.Context())
		id := fmt.Sprint("case-", n)
		plain, engine := f.announceServer(ctx, id+"-plain", plainService), f.announceServer(ctx, id+"-engine", engineService)
		plain.SetGarbage(fault)
		engine.SetGarbage(fault)
		sent := func() int { return plain.GarbageSent() + engine.GarbageSent() }
		l := f.runLoad(id, caseTime, func() bool { return plain.GarbageSent() > 0 && engine.GarbageSent() > 0 })
		t.Logf("%+v: of %d requests %d answered, %d answers with garbage; ends: %v", fault, len(l.routes), l.whole, sent(), l.ends)
		l.checkRules(t, arrivalsAt(append(sound, plain, engine)...))
		if failed := len(l.routes) - l.whole; failed > sent() || sent() == 0 {
			t.Errorf("%+v: %d requests failed, %d answers with garbage", fault, failed, sent())
		}
		cancel()
		plain.Stop()
		engine.Stop()
	}
}

// TestRequestsHeldAfterGarbageOfAllServers guards against requests that count as deadly, and servers that count as lost, after
// all servers of a service have sent garbage.
func TestRequestsHeldAfterGarbageOfAllServers(t *testing.T) {
	const rounds = 3
	f := newEntryFleet(t)
	var servers []*standin.Server
	for n := range 3 {
		servers = append(servers, f.announceServer(t.Context(), fmt.Sprint("engine-", n), engineService))
	}
	f.startEntry()
	for _, fault := range []standin.GarbageFault{
		{Kind: standin.GarbageText, Place: standin.GarbageBefore}, {Kind: standin.GarbageNoID, Place: standin.GarbageBetween},
		{Kind: standin.GarbageBytes, Place: standin.GarbageInstead}, {Kind: standin.GarbageText, Place: standin.GarbageBody},
	} {
		set := func(fault standin.GarbageFault) {
			for _, s := range servers {
				s.SetGarbage(fault)
			}
		}
		name := fmt.Sprintf("%s-%s", fault.Kind, fault.Place)
		set(fault)
		for range rounds {
			for _, part := range f.sendMarked(name) { // the same text, so the same request
				if fault := orderFault([]streamPart{part}); fault != "" {
					t.Errorf("%s: %s (%s): %s", name, part.id, part.form, fault)
				}
			}
		}
		set(standin.GarbageFault{})
		lost := 0
		await(t, "all streams are whole after "+name, func() bool {
			lost = 0
			for _, part := range f.sendMarked(name) {
				if !part.whole || part.status != http.StatusOK {
					lost++
				}
			}
			return lost == 0
		})
	}
}
