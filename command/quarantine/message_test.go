package quarantine

import (
	"fmt"
	"testing"

	"github.com/martenport/martenport/serving"
)

// TestWordIsToldOnce: what one instance has seen goes once to the holder and once from it to
// each of the others, and then nothing does, also after another has become the holder.
func TestWordIsToldOnce(t *testing.T) {
	const instances, requests = 20, 50
	var ledgers []*Ledger
	for range instances {
		ledgers = append(ledgers, NewLedger())
	}
	links := make([]Link, instances)
	told := 0
	round := func(holder int) {
		for i, l := range ledgers {
			m := l.Tell(links[i], start)
			answer, _ := ledgers[holder].Answer(m, start)
			told += len(m.Records) + len(answer.Records)
			l.Told(&links[i], m, answer, start)
		}
	}
	for range 3 {
		round(0)
	}
	for n := range requests {
		crashed(ledgers[7], serving.Fingerprint(fmt.Sprint(n)), n)
	}
	for range 10 {
		round(0)
	}
	if most := requests * instances; told > most {
		t.Errorf("%d records told, want at most %d", told, most)
	}
	for i, l := range ledgers {
		if len(l.records) != requests {
			t.Errorf("instance %d knows of %d of %d requests", i, len(l.records), requests)
		}
	}
	told = 0
	for range 10 {
		round(1)
	}
	if told > 0 {
		t.Errorf("%d records told to a new holder that knows them", told)
	}
	crashed(ledgers[3], "new", 1)
	for range 5 {
		round(1)
	}
	if told > 2*instances || ledgers[19].records["new"] == nil {
		t.Errorf("%d records told for one, known to the last: %v", told, ledgers[19].records["new"] != nil)
	}
}
