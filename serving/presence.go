package serving

// Presence states whether a backend server's process is running.
type Presence int

// The values of Presence.
const (
	// PresenceUnknown: the server did not answer. It may have ended, be partitioned, or its machine may be frozen.
	PresenceUnknown Presence = iota
	// PresenceConnects: a process accepts connections at the server's address.
	PresenceConnects
	// PresenceRunning: the server answers.
	PresenceRunning
	// PresenceEnded: nothing listens at the server's address, or another process does.
	PresenceEnded
)

// String returns the name of the presence for logs.
func (p Presence) String() string {
	return [...]string{"unknown", "connects", "there", "ended"}[p]
}
