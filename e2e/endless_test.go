package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// endlessFaults are the faults of a server. Answers that name no request and come after a whole answer are not among them:
// until the first is found, it cannot be told from the answer to a request that was sent meanwhile.
func endlessFaults() (faults []standin.EndlessFault) {
	const slowPause = 100 * time.Millisecond
	for _, part := range []standin.Endless{
		standin.EndlessStatusLine, standin.EndlessHeaders, standin.EndlessInterim, standin.EndlessNotice, standin.EndlessBody, standin.EndlessEvent,
		standin.EndlessExtension, standin.EndlessExtensions, standin.EndlessChunkSize, standin.EndlessTrailers, standin.EndlessRest,
	} {
		faults = append(faults, standin.EndlessFault{Part: part})
	}
	for _, part := range []standin.Endless{standin.EndlessHeader, standin.EndlessEvent, standin.EndlessTrailer} {
		faults = append(faults, standin.EndlessFault{Part: part, Pause: slowPause, OnlyRequests: true})
	}
	return faults
}

// TestAnswersWithoutEndReachOtherRequests guards against a server of several whose answers have no end, and that costs an
// instance other requests, breaks their rules, or takes memory or bytes without bound.
func TestAnswersWithoutEndReachOtherRequests(t *testing.T) {
	const (
		caseTime  = 300 * time.Millisecond
		mostBytes = 64 << 20 // sent by a faulty server for each arrival, including what waits in its connection
	)
	f := newEntryFleet(t)
	var sound []*standin.Server
	for n := range 4 {
		sound = append(sound, f.announceServer(t.Context(), fmt.Sprint("plain-", n), plainService), f.announceServer(t.Context(), fmt.Sprint("engine-", n), engineService))
	}
	f.startEntry()
	f.runLoad("warm-up", caseTime, func() bool { return true })
	before := f.entries[0].peakMemoryKB()
	for n, fault := range endlessFaults() {
		name := fmt.Sprintf("%s, pause %v", fault.Part, fault.Pause)
		ctx, cancel := context.WithCancel(t.Context())
		id := fmt.Sprint("case-", n)
		plain, engine := f.announceServer(ctx, id+"-plain", plainService), f.announceServer(ctx, id+"-engine", engineService)
		plain.SetEndlessFault(fault)
		engine.SetEndlessFault(fault)
		l := f.runLoad(id, caseTime, func() bool { return len(plain.State().Arrivals) > 0 && len(engine.State().Arrivals) > 0 })
		arrivals := arrivalsAt(plain, engine)
		sent := plain.EndlessSent() + engine.EndlessSent()
		t.Logf("%s: of %d requests %d answered, %d arrived at the faulty servers, which sent %d bytes; ends: %v", name, len(l.routes), l.whole, len(arrivals), sent, l.ends)
		l.checkRules(t, arrivalsAt(append(sound, plain, engine)...))
		if failed := len(l.routes) - l.whole; failed > len(arrivals) || len(arrivals) == 0 {
			t.Errorf("%s: %d requests failed, %d arrived at the faulty servers", name, failed, len(arrivals))
		}
		if sent > int64(len(arrivals))*mostBytes {
			t.Errorf("%s: %d bytes were taken of %d answers without end", name, sent, len(arrivals))
		}
		cancel()
		plain.Stop()
		engine.Stop()
	}
	if peak := f.entries[0].peakMemoryKB(); peak > 2*before {
		t.Errorf("the instance had %d KB of memory at most, %d KB without such answers", peak, before)
	}
}
