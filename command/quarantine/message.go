package quarantine

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// maxMessageRecords bounds the records in one message, about 160 B each. The remaining records follow
// in later messages.
const maxMessageRecords = 256

// Message is an update that one ledger sends to another.
type Message struct {
	// From identifies the sending ledger, and Digest is the digest of its records.
	From, Digest uint64
	// Records are the records that have changed at the sender, up to its revision Through.
	Records []Record
	Through uint64
	// HeardFrom identifies the ledger from which the sender last received a message over this link.
	// Heard is the revision of that ledger up to which the sender has its changes, so that they need
	// not be sent again.
	HeardFrom, Heard uint64
}

// Link is the state of the exchange between two ledgers, as seen by the one that sends the requests. It
// is not safe for concurrent use.
type Link struct {
	// peer identifies the ledger at the other end; 0 before its first reply.
	peer uint64
	// received is the revision of the peer up to which this ledger has its changes. sent is the
	// revision of this ledger up to which the peer has its changes.
	received, sent uint64
	// mismatches is the number of consecutive exchanges without new records but with different digests,
	// and resyncs the number of full exchanges started because of that.
	mismatches, resyncs int
}

// SentRevision returns the revision of the ledger up to which changes have been sent to the peer.
func (k Link) SentRevision() uint64 { return k.sent }

// Revision returns the ledger's current revision.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Since returns the records that have changed after the given revision, and the revision up to which
// they are complete. It returns at most maxMessageRecords records, the earliest changed first.
func (l *Ledger) Since(revision uint64, now time.Time) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since(revision, now)
}

// NextMessage returns the next message to send over the link.
func (l *Ledger) NextMessage(k Link, now time.Time) Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := Message{From: l.id, Digest: l.digest, HeardFrom: k.peer, Heard: k.received}
	m.Records, m.Through = l.since(k.sent, now)
	return m
}

// HandleMessage merges a message from another ledger. It returns the reply, and the escalations that
// follow.
func (l *Ledger) HandleMessage(m Message, now time.Time) (Message, []Escalation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	escalations := l.mergeRecords(m.Records, now)
	received := m.Heard
	if m.HeardFrom != l.id {
		received = l.assumedReceived(m)
	}
	reply := Message{From: l.id, Digest: l.digest}
	reply.Records, reply.Through = l.since(received, now)
	sent := map[serving.Fingerprint]Record{}
	for _, r := range m.Records {
		sent[r.Fingerprint] = r
	}
	reply.Records = slices.DeleteFunc(reply.Records, func(r Record) bool { return r.same(sent[r.Fingerprint]) })
	return reply, escalations
}

// assumedReceived returns the revision up to which a ledger is assumed to have the changes if it has
// not received any message from this one, such as after a change of holder: the current revision if the
// digests match, otherwise 0. l.mu must be held.
func (l *Ledger) assumedReceived(m Message) uint64 {
	if m.Digest == l.digest {
		return l.revision
	}
	return 0
}

// mismatchesBeforeResync is the number of consecutive exchanges without new records but with different
// digests after which all records are exchanged again: a message was lost, or a ledger was restarted.
// The number doubles with each such full exchange, up to maxResyncDoublings times, so that a persistent
// difference, such as in the records that each ledger has evicted, costs little.
const (
	mismatchesBeforeResync = 3
	maxResyncDoublings     = 8
)

// HandleReply merges the peer's reply to a message that was sent over the link, and updates the link.
// It returns the escalations that follow.
func (l *Ledger) HandleReply(k *Link, message, reply Message, now time.Time) []Escalation {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.revision
	escalations := l.mergeRecords(reply.Records, now)
	if reply.From == k.peer {
		k.received, k.sent = reply.Through, message.Through
	} else {
		*k = Link{peer: reply.From, received: reply.Through, sent: k.sent}
	}
	if k.sent == before {
		k.sent = l.revision // all later changes came from the peer
	}
	switch {
	case reply.Digest == l.digest:
		k.mismatches, k.resyncs = 0, 0
	case len(message.Records) == 0 && len(reply.Records) == 0 && k.sent == l.revision:
		k.mismatches++
	}
	if k.mismatches >= mismatchesBeforeResync<<min(k.resyncs, maxResyncDoublings) {
		k.mismatches, k.received, k.sent = 0, 0, 0
		k.resyncs++
	}
	return escalations
}

// Merge merges records of other ledgers, and returns the escalations that follow.
func (l *Ledger) Merge(records []Record, now time.Time) []Escalation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mergeRecords(records, now)
}

// mergeRecords merges records that have not exceeded their lifetime. l.mu must be held.
func (l *Ledger) mergeRecords(records []Record, now time.Time) []Escalation {
	var escalations []Escalation
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b Record) int { return compareRequestsFirst(a.Fingerprint, b.Fingerprint) })
	for _, r := range ordered {
		if r.Age < r.lifetime() {
			escalations = append(escalations, l.merge(r, now)...)
		}
	}
	return escalations
}

// since implements Since. l.mu must be held.
func (l *Ledger) since(revision uint64, now time.Time) ([]Record, uint64) {
	if revision >= l.revision {
		return nil, l.revision
	}
	var changed []*record
	for _, r := range l.records {
		if r.revision > revision {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return int(a.revision) - int(b.revision) })
	through := l.revision
	if len(changed) > maxMessageRecords {
		changed = changed[:maxMessageRecords]
		through = changed[maxMessageRecords-1].revision
	}
	records := make([]Record, 0, len(changed))
	for _, r := range changed {
		records = append(records, r.snapshot(now))
	}
	return records, through
}
