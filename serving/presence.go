package serving

// Presence says whether a backend server's process still runs.
type Presence int

// The presences.
const (
	// PresenceUnknown: it did not answer, which a cut link or a frozen machine does too.
	PresenceUnknown Presence = iota
	// PresenceConnects: something takes connections at its address.
	PresenceConnects
	// PresenceThere: it answers.
	PresenceThere
	// PresenceEnded: nothing listens at its address, or another process does.
	PresenceEnded
)

// String names the presence for logs.
func (p Presence) String() string {
	return [...]string{"unknown", "connects", "there", "ended"}[p]
}
