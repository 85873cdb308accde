package tunnel

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/httphead"
	"github.com/martenport/martenport/serving"
)

// Instance is another instance that may provide tunnels.
type Instance struct {
	Name, Address string
	// Domain is its failure domain.
	Domain string
}

// Client opens tunnels through other instances. It is safe for concurrent use.
type Client struct {
	domain    string
	dial      Dial
	instances func(ctx context.Context) []Instance

	mu sync.Mutex
	// avoid is until when an instance is asked last for tunnels to servers of a service; guarded by mu.
	avoid map[use]time.Time
	// failed has the latest failures, by server ID; guarded by mu.
	failed map[string]recentFailure
}

// use is the use of an instance for the servers of a service.
type use struct{ instance, service string }

// recentFailure is why no tunnel to a server was opened; no instance is asked again before until.
type recentFailure struct {
	err   error
	until time.Time
}

// NewClient returns a Client for an instance in a failure domain. instances returns the other instances.
func NewClient(domain string, dial Dial, instances func(ctx context.Context) []Instance) *Client {
	return &Client{domain: domain, dial: dial, instances: instances, avoid: map[use]time.Time{}, failed: map[string]recentFailure{}}
}

// Conn is an open tunnel. Closing it closes the connection to the server.
type Conn struct {
	net.Conn
	// Via is the name of the instance that provides the tunnel.
	Via    string
	reader io.Reader
}

// Read implements net.Conn. It fails if the tunnel ends before the server has closed its connection.
func (c *Conn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// opened is the result of asking one instance.
type opened struct {
	conn *Conn
	err  error
}

// Dial opens a tunnel to a server. Its errors are ErrServerDown, ErrIsolated and ErrNoInstance.
func (c *Client) Dial(ctx context.Context, s serving.Server) (*Conn, error) {
	c.mu.Lock()
	recent := c.failed[s.ID]
	c.mu.Unlock()
	if clock.Now().Before(recent.until) {
		return nil, recent.err
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := c.askInTurn(ctx, c.candidates(ctx, s, clock.Now()), s)
	if err != nil && !errors.Is(err, ErrNoInstance) {
		c.recordFailure(s, err, clock.Now())
	}
	return conn, err
}

// recordFailure remembers why no tunnel to a server was opened, and drops what is remembered of others for too long.
func (c *Client) recordFailure(s serving.Server, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.failed, func(_ string, f recentFailure) bool { return now.After(f.until) })
	c.failed[s.ID] = recentFailure{err: err, until: now.Add(failureTime)}
}

// askInTurn asks one instance after the other, and the next one as well if an instance takes longer than hedgeDelay.
func (c *Client) askInTurn(ctx context.Context, candidates []Instance, s serving.Server) (*Conn, error) {
	results := make(chan opened, len(candidates))
	asked, answered, down := 0, 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	result := ErrNoInstance
	for down < maxDown && (asked < len(candidates) || answered < asked) {
		select {
		case <-next.C:
			if asked < len(candidates) {
				go c.ask(ctx, candidates[asked], s, results)
				asked++
				next.Reset(hedgeDelay)
			}
		case o := <-results:
			answered++
			switch {
			case o.err == nil:
				go closeLate(results, asked-answered)
				return o.conn, nil
			case errors.Is(o.err, ErrServerDown):
				result = ErrServerDown
				down++
			case errors.Is(o.err, ErrIsolated) && down == 0:
				result = ErrIsolated
			}
			next.Reset(0)
		}
	}
	go closeLate(results, asked-answered)
	return nil, errors.Wrapf(result, "%d instances asked", asked)
}

// closeLate closes the tunnels that are opened after another one was taken.
func closeLate(results <-chan opened, pending int) {
	for range pending {
		if o := <-results; o.err == nil {
			_ = o.conn.Close()
		}
	}
}

// candidates returns the instances to ask, in order. Those that recently provided no tunnel come last, and before them
// those through which bytes cross two boundaries between failure domains.
func (c *Client) candidates(ctx context.Context, s serving.Server, now time.Time) []Instance {
	list := slices.Clone(c.instances(ctx))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := func(i Instance) int {
		switch {
		case now.Before(c.avoid[use{i.Name, s.Service}]):
			return 2
		case i.Domain != s.FailureDomain && i.Domain != c.domain:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b Instance) int { return rank(a) - rank(b) })
	return list[:min(maxAsked, len(list))]
}

// ask asks one instance for a tunnel and sends the result.
func (c *Client) ask(ctx context.Context, i Instance, s serving.Server, results chan<- opened) {
	conn, err := c.open(ctx, i, s)
	c.mu.Lock()
	if err == nil {
		delete(c.avoid, use{i.Name, s.Service})
	} else if !errors.Is(ctx.Err(), context.Canceled) {
		c.avoid[use{i.Name, s.Service}] = clock.Now().Add(avoidTime)
	}
	c.mu.Unlock()
	results <- opened{conn: conn, err: err}
}

// open opens a tunnel through one instance.
func (c *Client) open(ctx context.Context, i Instance, s serving.Server) (*Conn, error) {
	conn, err := c.dial(ctx, "tcp", i.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reader, err := connect(conn, s)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Conn{Conn: conn, Via: i.Name, reader: httputil.NewChunkedReader(reader)}, nil
}

// connect asks for a connection to a server and reads the response.
func connect(conn net.Conn, s serving.Server) (*bufio.Reader, error) {
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: s.Address}, Host: s.Address, Header: http.Header{headerServer: {s.ID}}}
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "tunnel: request")
	}
	scanner := &httphead.Scanner{}
	limited := &io.LimitedReader{R: io.TeeReader(conn, scanner), N: maxHead}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel: response")
	}
	if err := httphead.Check(resp, scanner); err != nil {
		return nil, errors.Wrap(err, "tunnel: response")
	}
	limited.N = math.MaxInt64
	switch reason := failure(resp.Header.Get(headerFailure)); {
	case resp.StatusCode == http.StatusOK:
		return reader, nil
	case reason == failureDown:
		return nil, ErrServerDown
	case reason == failureIsolated:
		return nil, ErrIsolated
	default:
		return nil, errors.Newf("tunnel: refused: %s", reason)
	}
}
