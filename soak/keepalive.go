package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// Limits of clients that reuse their connection.
const (
	// keepAlivePerEntry and maxKeepAlive bound the number of these clients, per instance and in total. An
	// instance takes about a millisecond to scan so many idle connections. Only with many requests do some arrive
	// during a scan, so that its effect on them shows.
	keepAlivePerEntry, maxKeepAlive = 250, 750
	// maxThinkTime is the maximum pause of a client between two requests.
	maxThinkTime = 12 * time.Second
	// wakeSpread is the time over which requests are spread when all clients send at once: slightly more than the
	// interval between an instance's scans of idle connections (250 ms).
	wakeSpread = 350 * time.Millisecond
)

// clientWaker wakes waiting clients, so that they send at about the same time.
type clientWaker struct {
	mu    sync.Mutex
	woken chan struct{} // closed when the clients are woken; guarded by mu
}

func newClientWaker() *clientWaker { return &clientWaker{woken: make(chan struct{})} }

func (w *clientWaker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.woken)
	w.woken = make(chan struct{})
}

// pause waits for d, or until the clients are woken and spread has passed since. It reports whether ctx is not
// done.
func (w *clientWaker) pause(ctx context.Context, d, spread time.Duration) bool {
	w.mu.Lock()
	woken := w.woken
	w.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-woken:
		return pause.For(ctx, spread)
	case <-ctx.Done():
		return false
	}
}

// keepAliveClient is a client that reuses one connection to one instance until it is closed or idle for too long.
type keepAliveClient struct {
	r      *run
	entry  int
	random *rand.Rand

	conn   net.Conn // nil while there is none
	reader *bufio.Reader
	// lastAnswer is the time of the last answer, and idleTimeout the idle timeout in force at that time.
	lastAnswer  time.Time
	idleTimeout time.Duration
}

// startKeepAliveClients starts the clients that reuse connections and adds them to wg. They call record with each
// request.
func (r *run) startKeepAliveClients(ctx context.Context, wg *sync.WaitGroup, record func(clientRequest)) {
	each := max(1, min(keepAlivePerEntry, maxKeepAlive/len(r.entries)))
	for n := range each * len(r.entries) {
		k := &keepAliveClient{r: r, entry: n % len(r.entries), random: rand.New(rand.NewPCG(r.params.Seed, uint64(10000+n)))}
		wg.Go(func() { k.run(ctx, fmt.Sprintf("kept-%d", n), record) })
	}
}

func (k *keepAliveClient) run(ctx context.Context, name string, record func(clientRequest)) {
	defer k.closeConn()
	for n := 0; k.think(ctx); n++ {
		record(k.sendRequest(fmt.Sprintf("%s-%d", name, n)))
	}
}

func (k *keepAliveClient) think(ctx context.Context) bool {
	return k.r.waker.pause(ctx, time.Duration(k.random.Int64N(int64(maxThinkTime))), time.Duration(k.random.Int64N(int64(wakeSpread))))
}

// sendRequest sends a request on the client's connection, or on a new one if the connection is closed or too old:
// clients reuse a connection that has been idle for up to four fifths of the idle timeout last known to them.
func (k *keepAliveClient) sendRequest(id string) clientRequest {
	req := clientRequest{id: id, route: keepAliveRoutes[k.random.IntN(len(keepAliveRoutes))]}
	if serviceOf(req.route) == engineService {
		req.model = models[k.random.IntN(len(models))]
	}
	if k.conn != nil && time.Since(k.lastAnswer) > k.idleTimeout*4/5 {
		k.closeConn()
	}
	observed := k.r.observe(k.entry, serviceOf(req.route))
	req.reusedConn = k.conn != nil
	if k.conn == nil && !k.dial() {
		return req
	}
	began := time.Now()
	reusable := req.exchange(k.conn, k.reader)
	req.duration = time.Since(began)
	observed.finish(&req)
	k.lastAnswer, k.idleTimeout = time.Now(), k.r.idleTimeout()
	if !reusable {
		k.closeConn()
	}
	return req
}

func (k *keepAliveClient) dial() bool {
	conn, err := net.DialTimeout("tcp", k.r.entryAddress(k.entry), time.Second)
	if err != nil {
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

func (k *keepAliveClient) closeConn() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}

// answered reports whether the client got a complete answer or refusal.
func (req *clientRequest) answered() bool { return req.status != 0 && req.complete }

// closeRaceTime is how long after a request was sent the instance may still have closed the connection without
// having seen the request. It is far longer than a packet takes on loopback, even on a loaded machine.
const closeRaceTime = 2 * time.Second

// lostAnswerViolations checks that a request sent on a reused connection is answered or refused, provided that no
// fault affected its instance, the servers of its service and the connections to them.
//
// It is a violation if a server ran the request, or if the connection ended without an answer so late that the
// instance must have read the request. These are permitted:
//
//   - the instance closes the connection while the request is in transit, and no server receives it;
//   - an answer that had begun is cut off when the route's timeout expires;
//   - the connection was closed before, so that nothing could be sent.
func (req *clientRequest) lostAnswerViolations(runs int) []Violation {
	if !req.reusedConn || !req.undisturbed || req.sentAt.IsZero() || req.answered() {
		return nil
	}
	timedOut := req.status != 0 && req.duration >= shortestTimeout
	if timedOut || runs == 0 && req.duration < closeRaceTime {
		return nil
	}
	detail := fmt.Sprintf("%s (%s) sent %s ran %d times, ended after %s with status %d", req.id, req.route, req.sentAt.Format("15:04:05.000"), runs, req.duration.Round(time.Millisecond), req.status)
	if req.status == http.StatusOK {
		detail += ", cut off"
	}
	return []Violation{{"a request on a kept connection is answered or refused", detail}}
}
