package quarantine

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// BrokenAttempt is an attempt whose answer was cut off.
type BrokenAttempt struct {
	Fingerprint serving.Fingerprint
	// Subject describes the request for operators.
	Subject string
	Server  serving.Server
	// PromptParts are the parts of the request's prompt, as in serving.Request.
	PromptParts []string
	// SentAt is when the request was sent.
	SentAt time.Time
	// RunTime is the time from the server's first event to the failure; 0 if there was no event.
	RunTime time.Duration
	// Isolated is set if the attempt was an isolated run of a suspect.
	Isolated bool
	// Unresponsive is set if the server stopped sending without closing the connection, as on a
	// partitioned link.
	Unresponsive bool
	// ClientGone is set if the client had disconnected before. The failure then does not indicate a
	// crash, but if the server did crash, the request was running there.
	ClientGone bool
}

// inconclusive reports whether the failure is weak evidence against the request. When a link is
// partitioned, the server's entry lapses as well, and a request whose client has disconnected may
// have been cancelled long before the crash. Isolated runs are always conclusive, since they are
// followed to their end.
func (b *BrokenAttempt) inconclusive() bool { return !b.Isolated && (b.Unresponsive || b.ClientGone) }

// Identity returns the identity of the request.
func (b *BrokenAttempt) Identity() Identity {
	return Identity{Fingerprint: b.Fingerprint, Service: b.Server.Service, PromptParts: b.PromptParts}
}

// RecordCrash records that the server of a broken attempt has crashed, and returns the escalations that
// follow. For a suspect, only the crash of a server that had just started the request counts
// permanently: if the request had already run for longer than its grace period, another request is
// more likely to be the cause. Such a late crash extends the grace period of the next run instead.
func (l *Ledger) RecordCrash(b BrokenAttempt, now time.Time) []Escalation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(l.recordRequestCrash(b, now), l.recordPartCrashes(&b, now)...)
}

// recordRequestCrash counts the crash against the request itself. l.mu must be held.
func (l *Ledger) recordRequestCrash(b BrokenAttempt, now time.Time) []Escalation {
	i := b.Identity()
	update := Record{Fingerprint: b.Fingerprint, Subject: b.Subject, Parts: i.partHashes()}
	r := l.records[b.Fingerprint]
	suspect := r != nil && r.State() == Suspect
	switch {
	case suspect && b.inconclusive():
		return nil
	case suspect && b.RunTime > r.grace():
		update.Grace = min(maxGrace, graceFactor*b.RunTime)
	default:
		update.Crashes = []Incarnation{IncarnationOf(b.Server)}
		if b.Isolated {
			update.Isolated = update.Crashes
		}
		switch {
		case b.Isolated && l.needsConfirmation(b, now):
			update.Pending = l.newPending(&b, now)
		case b.Isolated:
			update.Alone = update.Crashes
		}
	}
	return l.merge(update, now)
}
