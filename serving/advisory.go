package serving

import "time"

// Advisory is what a backend server says of itself in the head of an answer, to a request, an order
// or a call for its report.
type Advisory struct {
	// Server that says it. Its process was Born then, as it announces; 0 if it does not.
	Server string
	Born   int64
	// Sent is when the request that it answers was sent, and Heard when the answer's head was
	// read: answers overtake each other on their way.
	Sent, Heard time.Time
	// Leaving: the server is about to end and should get nothing new.
	Leaving bool
	// Limited: it takes Rate requests a second from all instances together.
	Limited bool
	Rate    float64
	// RetryAfter is for how long it wants nothing from this instance; 0 if it does not say.
	RetryAfter time.Duration
	// Unreadable has what could not be read, "" if all could. Of a limit that cannot be read
	// the advisory says nothing, neither that there is one nor that there is none.
	Unreadable   string
	LimitUnknown bool
}
