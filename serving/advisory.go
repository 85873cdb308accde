package serving

import "time"

// Advisory is the state that a backend server reports in the headers of a response, to a request, an order or a call
// for its report.
type Advisory struct {
	// Server is the id of the reporting server, and Service its service. Born is when its process started, as announced; 0 if
	// it is not announced.
	Server, Service string
	Born            int64
	// SentAt is when the request was sent and ReceivedAt when the headers of its response were read. Responses may arrive
	// out of order.
	SentAt, ReceivedAt time.Time
	// Leaving is set if the server is about to end and should get no new requests.
	Leaving bool
	// Limited is set if the server accepts at most Rate requests per second from all instances together.
	Limited bool
	Rate    float64
	// Brittle is set if the server ends if it has to reject more than Tolerated requests in a second for lack of room,
	// over all instances.
	Brittle   bool
	Tolerated int
	// RetryAfter is how long the server wants no requests from this instance; 0 if it does not state that.
	RetryAfter time.Duration
	// Unreadable lists what could not be parsed, "" if everything could. LimitUnknown is set if the advisory does not
	// state whether there is a limit, for example because the limit could not be parsed.
	Unreadable   string
	LimitUnknown bool
}
