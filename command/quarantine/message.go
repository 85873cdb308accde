package quarantine

import (
	"slices"
	"time"
)

// maxTold bounds the records in one message, about 300 B each: the rest follow in the next.
const maxTold = 256

// Message is what one ledger tells another.
type Message struct {
	// From names the ledger that tells.
	From uint64
	// Records are what has changed there up to its change Through.
	Records []Record
	Through uint64
	// HeardFrom names the ledger that From heard last from at this address, and Heard through
	// which of its changes: what it need not be told.
	HeardFrom, Heard uint64
}

// Link is how far two ledgers know of each other, seen from the one that asks. It is not
// safe for concurrent use.
type Link struct {
	// peer names the ledger at the other end, 0 before it has answered.
	peer uint64
	// heard is through which of its changes this end knows, sent through which of this
	// end's it does.
	heard, sent uint64
}

// Behind reports whether the other end lacks anything that the ledger knows.
func (k *Link) Behind(l *Ledger) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return k.sent < l.change
}

// Tell returns what the ledger has to tell over the link.
func (l *Ledger) Tell(k Link, now time.Time) Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := Message{From: l.id, HeardFrom: k.peer, Heard: k.heard}
	m.Records, m.Through = l.since(k.sent, now)
	return m
}

// Answer takes over what another ledger tells and returns what this one has to tell it.
func (l *Ledger) Answer(m Message, now time.Time) (Message, []Raise) {
	raised := l.Take(m.Records, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := m.Heard
	if m.HeardFrom != l.id {
		heard = 0
	}
	answer := Message{From: l.id}
	answer.Records, answer.Through = l.since(heard, now)
	return answer, raised
}

// Told takes over the answer to what was told over the link.
func (l *Ledger) Told(k *Link, told, answer Message, now time.Time) []Raise {
	raised := l.Take(answer.Records, now)
	if answer.From == k.peer {
		k.heard, k.sent = answer.Through, told.Through
		return raised
	}
	*k = Link{peer: answer.From, heard: answer.Through} // it may lack what was told to another
	return raised
}

// Take takes over records of other ledgers.
func (l *Ledger) Take(records []Record, now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	var raised []Raise
	for _, r := range records {
		raised = append(raised, l.merge(r, now)...)
	}
	return raised
}

// since needs mu. It returns the records that have changed after a change, the first ones
// if there are many, and through which change that is.
func (l *Ledger) since(change uint64, now time.Time) ([]Record, uint64) {
	if change >= l.change {
		return nil, l.change
	}
	var changed []*record
	for _, r := range l.records {
		if r.change > change {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return int(a.change) - int(b.change) })
	through := l.change
	if len(changed) > maxTold {
		changed = changed[:maxTold]
		through = changed[maxTold-1].change
	}
	records := make([]Record, 0, len(changed))
	for _, r := range changed {
		records = append(records, r.told(now))
	}
	return records, through
}
