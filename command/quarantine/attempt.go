package quarantine

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// BrokenAttempt is an answer that broke off.
type BrokenAttempt struct {
	Fingerprint serving.Fingerprint
	// Subject says to people what the request is.
	Subject string
	Server  serving.Server
	// Ran is how long after the server's first event that was, 0 if there was none.
	Ran time.Duration
	// Alone: it was the run of a suspect.
	Alone bool
	// Silent: nothing came any more, as on a cut link.
	Silent bool
	// Left: the client left before. That is no sign that the server ended, but if it did
	// the request was there.
	Left bool
}

// vague reports whether the break tells little of the server's end: where a link is cut the
// entry of a server goes as well, and a request that has left may have been far from its end.
// A suspect that runs alone is seen through to the end.
func (b *BrokenAttempt) vague() bool { return !b.Alone && (b.Silent || b.Left) }

// Ended notes that the server on which an answer broke off has ended. What counts against a
// suspect for good is the end of a server that had just begun it: of those on which it has
// gone on for longer than its grace, another is more likely to be the cause, and such an end
// has the next run be watched for longer.
func (l *Ledger) Ended(b BrokenAttempt, now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := Record{Fingerprint: b.Fingerprint, Subject: b.Subject}
	r := l.records[b.Fingerprint]
	suspect := r != nil && r.State() == Suspect
	switch {
	case suspect && b.vague():
		return nil
	case suspect && b.Ran > r.grace():
		told.Grace = min(mostGrace, graceGrowth*b.Ran)
	default:
		told.Crashes = []Incarnation{IncarnationOf(b.Server)}
		switch {
		case b.Alone && l.awaitsConfirmation(b):
			told.Pending = []PendingEnd{{Incarnation: IncarnationOf(b.Server)}}
		case b.Alone:
			told.Alone = told.Crashes
		}
	}
	return l.merge(told, now)
}
