// Package tunnel carries connections to backend servers through another instance, for an instance whose own path to
// them is broken. The instance that uses a tunnel decides and accounts for everything that is sent; the one that
// provides it only copies bytes. So whatever holds for a request on a direct connection holds in a tunnel, too.
//
// A tunnel is opened with an HTTP CONNECT request that names the server and its address. The providing instance
// connects to servers in its directory only, and only by itself, so tunnels cannot form chains or cycles. Bytes to the
// server follow the request as they are. Bytes from the server are sent in chunked encoding, whose last chunk states
// that the server has closed its connection: without it, the end of the providing process could be mistaken for the
// end of an answer.
//
// Each tunnel carries one request, so that an instance which shuts down has no idle tunnels to close.
package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// headerServer has the ID of the server in a CONNECT request, and headerFailure the failure in a response.
const (
	headerServer  = "Tunnel-Server"
	headerFailure = "Tunnel-Failure"
)

// failure states why a tunnel was not opened, on the wire.
type failure string

const (
	// failureDown: the providing instance cannot connect to the server, but reaches others.
	failureDown failure = "down"
	// failureIsolated: the providing instance reaches no server of the service.
	failureIsolated failure = "isolated"
	// failureUnknown: the server is not in the providing instance's directory, or is leaving.
	failureUnknown failure = "unknown"
	// failureBusy: the providing instance is leaving, or has too many tunnels.
	failureBusy failure = "busy"
)

// Errors of Client.Dial. Nothing was sent to the server.
var (
	// ErrServerDown means that other instances reach servers, but not this one.
	ErrServerDown = errors.New("tunnel: other instances cannot connect to the server")
	// ErrIsolated means that the other instances reach no server of the service either.
	ErrIsolated = errors.New("tunnel: no other instance reaches servers of the service")
	// ErrNoInstance means that no other instance could be asked.
	ErrNoInstance = errors.New("tunnel: no other instance answers")
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// openTimeout bounds the opening of one tunnel, as seen by the instance that uses it, and connectTimeout the
	// connection to the server, as seen by the one that provides it. They are many round trips between regions.
	openTimeout    = 400 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
	// hedgeDelay is how long a tunnel may take until another instance is asked as well.
	hedgeDelay = 60 * time.Millisecond
	// maxAsked is the number of instances that are asked for one tunnel: all of a small fleet, most of which may be
	// isolated. maxDown is the number of answers that the server is down after which no more are asked; some of
	// those that answer so may be isolated and not know it yet.
	maxAsked = 12
	maxDown  = 4
	// avoidTime is how long an instance that provided no tunnel is asked last.
	avoidTime = time.Second
	// maxHead bounds the head of an instance's answer, in bytes.
	maxHead = 4 << 10
	// failureTime is how long no instance is asked again after none of those asked reached a server.
	failureTime = 200 * time.Millisecond
)
