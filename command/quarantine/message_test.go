package quarantine

import (
	"fmt"
	"testing"

	"github.com/martenport/martenport/serving"
)

// TestRecordsAreSentOnce: a record that one instance creates is sent once to the holder and once from
// the holder to each other instance, and never again, also after a change of holder.
func TestRecordsAreSentOnce(t *testing.T) {
	const instances, requests = 20, 50
	var ledgers []*Ledger
	for range instances {
		ledgers = append(ledgers, NewLedger())
	}
	links := make([]Link, instances)
	sent := 0
	round := func(holder int) {
		for i, l := range ledgers {
			m := l.NextMessage(links[i], start)
			reply, _ := ledgers[holder].HandleMessage(m, start)
			sent += len(m.Records) + len(reply.Records)
			l.HandleReply(&links[i], m, reply, start)
		}
	}
	for range 3 {
		round(0)
	}
	for n := range requests {
		recordCrash(ledgers[7], serving.Fingerprint(fmt.Sprint(n)), n)
	}
	for range 10 {
		round(0)
	}
	if limit := requests * instances; sent > limit {
		t.Errorf("%d records sent, want at most %d", sent, limit)
	}
	for i, l := range ledgers {
		if len(l.records) != requests {
			t.Errorf("instance %d has records of %d of %d requests", i, len(l.records), requests)
		}
	}
	sent = 0
	for range 10 {
		round(1)
	}
	if sent > 0 {
		t.Errorf("%d records sent to a new holder that has them", sent)
	}
	recordCrash(ledgers[3], "new", 1)
	for range 5 {
		round(1)
	}
	if sent > 2*instances || ledgers[19].records["new"] == nil {
		t.Errorf("%d records sent for one new record; the last instance has it: %v", sent, ledgers[19].records["new"] != nil)
	}
}

// TestDigestTellsPendingFromCleared guards against two ledgers that differ and have the same digest, so that they do not
// exchange their records.
func TestDigestTellsPendingFromCleared(t *testing.T) {
	pending := record{Record: Record{Fingerprint: "r"}, pending: []pendingCrash{{incarnation: incarnation(1)}}}
	cleared := record{Record: Record{Fingerprint: "r", Cleared: []Incarnation{incarnation(1)}}}
	if pending.hash() == cleared.hash() {
		t.Error("a pending crash and a cleared one have the same hash")
	}
}
