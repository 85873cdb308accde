package quarantine

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Break is an answer that broke off.
type Break struct {
	Fingerprint serving.Fingerprint
	// Subject says to people what the request is.
	Subject string
	Server  serving.Server
	// Ran is how long after the server's first event that was, 0 if there was none.
	Ran time.Duration
	// Left: the client left before. That is no sign that the server ended, but if it did
	// the request was there.
	Left bool
}

// Ended notes that the server on which an answer broke off has ended. What counts against a
// suspect for good is the end of a server that had just begun it: of those on which it has
// gone on for longer than its grace, another is more likely to be the cause. On days on which
// servers end all the time for reasons of their own, a request of three seconds was on three of
// them; but such an end has the next run be watched for longer.
func (l *Ledger) Ended(b Break, now time.Time) []Raise {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := Record{Fingerprint: b.Fingerprint, Subject: b.Subject}
	if r := l.records[b.Fingerprint]; r != nil && r.State() == Suspect && b.Ran > r.grace() {
		told.Grace = min(mostGrace, graceGrowth*b.Ran)
	} else {
		told.Crashes = []Life{LifeOf(b.Server)}
	}
	return l.merge(told, now)
}
