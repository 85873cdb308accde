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
	// Alone: it was the run of a suspect, to be watched for Grace.
	Alone bool
	Grace time.Duration
	// Left: the client left before. That is no sign that the server ended, but if it did
	// the request was there.
	Left bool
}

// Late reports whether a suspect went on for so long that the end of its server does not
// count against it.
func (b *Break) Late() bool { return b.Alone && b.Ran > b.Grace }
