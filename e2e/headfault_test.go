package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestInvalidHeadsReachClients guards against answers of a faulty server whose heads are not valid HTTP, and that reach clients as
// answers, or cost an instance other requests or break their rules.
func TestInvalidHeadsReachClients(t *testing.T) {
	const caseTime = 100 * time.Millisecond
	f := newEntryFleet(t)
	var sound []*standin.Server
	for n := range 3 {
		sound = append(sound, f.announceServer(t.Context(), fmt.Sprint("plain-", n), plainService), f.announceServer(t.Context(), fmt.Sprint("engine-", n), engineService))
	}
	f.startEntry()
	for n, fault := range standin.HeadFaults {
		ctx, cancel := context.WithCancel(t.Context())
		id := fmt.Sprint("case-", n)
		plain, engine := f.announceServer(ctx, id+"-plain", plainService), f.announceServer(ctx, id+"-engine", engineService)
		plain.SetHeadFault(&fault)
		engine.SetHeadFault(&fault)
		sent := func() int { return plain.HeadFaultsSent() + engine.HeadFaultsSent() }
		l := f.runLoad(id, caseTime, func() bool { return plain.HeadFaultsSent() > 0 && engine.HeadFaultsSent() > 0 })
		relayed := l.seals[plain.Seal()] + l.seals[engine.Seal()]
		t.Logf("%s: of %d requests %d answered, %d answers with the fault, %d of them relayed; ends: %v", fault.Name, len(l.routes), l.whole, sent(), relayed, l.ends)
		l.checkRules(t, arrivalsAt(append(sound, plain, engine)...))
		if failed := len(l.routes) - l.whole; failed > sent() || sent() == 0 {
			t.Errorf("%s: %d requests failed, %d answers with the fault", fault.Name, failed, sent())
		}
		if relayed > 0 {
			t.Errorf("%s: %d clients got an answer of a server whose heads are not valid", fault.Name, relayed)
		}
		cancel()
		plain.Stop()
		engine.Stop()
	}
}
