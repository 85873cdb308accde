package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/internal/standin"
)

// slowDials opens connections to servers, slowly while slow is set.
type slowDials struct{ slow atomic.Bool }

// slowDialTime is longer than a server allows for requests that are under way as it asks for a pause.
const slowDialTime = 1500 * time.Millisecond

// dial opens a connection to a server.
func (d *slowDials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.slow.Load() {
		time.Sleep(slowDialTime)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestRequestsReachRestingServerAfterConnecting guards against requests that were waiting for a connection as their server asked
// for a pause, and reached it during the pause.
func TestRequestsReachRestingServerAfterConnecting(t *testing.T) {
	dials := &slowDials{}
	f := (&fleet{t: t, network: func(int) network { return network{peers: rpcpool.DialTCP, servers: dials.dial} }}).start(1)
	server := f.servers["p1"]
	server.SetBackpressure(standin.Backpressure{Rest: "3"})
	dials.slow.Store(true)
	const waiting = 6
	var connecting sync.WaitGroup
	var told atomic.Int64
	for range waiting {
		connecting.Go(func() {
			if a := f.request(f.instances[0], "safe", ""); a.status == http.StatusServiceUnavailable && a.retryAfter > time.Second {
				told.Add(1)
			}
		})
	}
	time.Sleep(slowDialTime / 3)
	dials.slow.Store(false)
	if a := f.request(f.instances[0], "unsafe", ""); a.status != http.StatusServiceUnavailable {
		t.Fatalf("answer %+v, want a refusal", a)
	}
	connecting.Wait()
	reached := int64(len(server.State().Arrivals) - 1)
	if reached > maxSendsAllowed {
		t.Errorf("%d requests reached the server after it had asked for a pause, want at most %d", reached, maxSendsAllowed)
	}
	if told.Load()+reached < waiting { // the server may have refused one that was told afterwards
		t.Errorf("%d clients were told to return after the pause, want %d or more", told.Load(), waiting-reached)
	}
}
