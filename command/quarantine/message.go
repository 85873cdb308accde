package quarantine

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// maxTold bounds the records in one message, about 160 B each: the rest follow in the next.
const maxTold = 256

// Message is what one ledger tells another.
type Message struct {
	// From names the ledger that tells, and Digest sums up what it knows.
	From, Digest uint64
	// Records are what has changed there up to its change Through.
	Records []Record
	Through uint64
	// HeardFrom names the ledger that From heard last from over this link, and Heard through
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
	// differing counts the answers in a row with nothing new and another digest, and all how
	// often everything was asked for because of that.
	differing, all int
}

// Sent returns through which change the other end has been told.
func (k Link) Sent() uint64 { return k.sent }

// Change returns the ledger's last change.
func (l *Ledger) Change() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change
}

// Since returns the records that have changed after a change, the first ones if there are
// many, and through which change that is.
func (l *Ledger) Since(change uint64, now time.Time) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since(change, now)
}

// Tell returns what the ledger has to tell over the link.
func (l *Ledger) Tell(k Link, now time.Time) Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := Message{From: l.id, Digest: l.digest, HeardFrom: k.peer, Heard: k.heard}
	m.Records, m.Through = l.since(k.sent, now)
	return m
}

// Answer takes over what another ledger tells and returns what this one has to tell it.
func (l *Ledger) Answer(m Message, now time.Time) (Message, []Raise) {
	l.mu.Lock()
	defer l.mu.Unlock()
	raised := l.take(m.Records, now)
	heard := m.Heard
	if m.HeardFrom != l.id {
		heard = l.assumed(m)
	}
	answer := Message{From: l.id, Digest: l.digest}
	answer.Records, answer.Through = l.since(heard, now)
	told := map[serving.Fingerprint]Record{}
	for _, r := range m.Records {
		told[r.Fingerprint] = r
	}
	answer.Records = slices.DeleteFunc(answer.Records, func(r Record) bool { return r.same(told[r.Fingerprint]) })
	return answer, raised
}

// assumed returns through which change a ledger is taken to know that has heard of none yet, such
// as after another instance has become the holder: of all where the digests are the same. l.mu must
// be held.
func (l *Ledger) assumed(m Message) uint64 {
	if m.Digest == l.digest {
		return l.change
	}
	return 0
}

// differsBefore is how many answers in a row with nothing new and another digest show that a
// message was lost or a ledger began anew. It doubles each time that everything was asked for
// because of that, up to mostDoublings times, so that a difference that lasts, such as of what
// each has forgotten, costs little.
const (
	differsBefore = 3
	mostDoublings = 8
)

// Told takes over the answer to what was told over the link.
func (l *Ledger) Told(k *Link, told, answer Message, now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.change
	raised := l.take(answer.Records, now)
	if answer.From == k.peer {
		k.heard, k.sent = answer.Through, told.Through
	} else {
		*k = Link{peer: answer.From, heard: answer.Through, sent: k.sent}
	}
	if k.sent == before {
		k.sent = l.change // the rest it has said itself
	}
	switch {
	case answer.Digest == l.digest:
		k.differing, k.all = 0, 0
	case len(told.Records) == 0 && len(answer.Records) == 0 && k.sent == l.change:
		k.differing++
	}
	if k.differing >= differsBefore<<min(k.all, mostDoublings) {
		k.differing, k.heard, k.sent = 0, 0, 0
		k.all++
	}
	return raised
}

// Take takes over records of other ledgers.
func (l *Ledger) Take(records []Record, now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(records, now)
}

// l.mu must be held.
func (l *Ledger) take(records []Record, now time.Time) []Raise {
	var raised []Raise
	for _, r := range records {
		if r.Age < r.lifetime() {
			raised = append(raised, l.merge(r, now)...)
		}
	}
	return raised
}

// l.mu must be held.
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
