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

// Clients that keep their connection.
const (
	// keptPerEntry and keptInAll bound how many there are. A look of an instance at
	// its idle connections takes about a millisecond for so many; what it does to
	// a request that comes meanwhile shows only if many come.
	keptPerEntry, keptInAll = 250, 750
	// longestThought is the longest pause between two requests of one.
	longestThought = 12 * time.Second
	// herdSpread is how far apart the requests come when all are sent at once: a
	// little more than the interval of an instance's looks (250 ms).
	herdSpread = 350 * time.Millisecond
)

// herd wakes clients that pause, so that they send at about the same time.
type herd struct {
	mu    sync.Mutex
	woken chan struct{} // closed when the herd is woken; guarded by mu
}

func newHerd() *herd { return &herd{woken: make(chan struct{})} }

func (h *herd) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.woken)
	h.woken = make(chan struct{})
}

// pause waits for d, or until the herd is woken and spread has passed. It reports
// whether ctx is still in force.
func (h *herd) pause(ctx context.Context, d, spread time.Duration) bool {
	h.mu.Lock()
	woken := h.woken
	h.mu.Unlock()
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

// keeper is a client that keeps its connection to one instance open and uses it
// until the process is gone.
type keeper struct {
	r      *run
	entry  int
	random *rand.Rand

	conn   net.Conn // nil while there is none
	reader *bufio.Reader
	// answered is when the last answer came, and limit the idle limit known then.
	answered time.Time
	limit    time.Duration
}

// startKeepers starts the clients that keep connections, for work to wait for.
func (r *run) startKeepers(ctx context.Context, work *sync.WaitGroup, ended func(try)) {
	each := max(1, min(keptPerEntry, keptInAll/len(r.entries)))
	for n := range each * len(r.entries) {
		k := &keeper{r: r, entry: n % len(r.entries), random: rand.New(rand.NewPCG(r.params.Seed, uint64(10000+n)))}
		work.Go(func() { k.run(ctx, fmt.Sprintf("kept-%d", n), ended) })
	}
}

func (k *keeper) run(ctx context.Context, name string, ended func(try)) {
	defer k.drop()
	for n := 0; k.think(ctx); n++ {
		ended(k.try(fmt.Sprintf("%s-%d", name, n)))
	}
}

func (k *keeper) think(ctx context.Context) bool {
	return k.r.herd.pause(ctx, time.Duration(k.random.Int64N(int64(longestThought))), time.Duration(k.random.Int64N(int64(herdSpread))))
}

// try sends a request on the kept connection, or on a new one if there is none that
// may still be used: clients use one that has been idle for up to four fifths of the
// limit that they last knew.
func (k *keeper) try(id string) try {
	t := try{id: id, route: keptRoutes[k.random.IntN(len(keptRoutes))]}
	if serviceOf(t.route) == engines {
		t.model = models[k.random.IntN(len(models))]
	}
	if k.conn != nil && time.Since(k.answered) > k.limit*4/5 {
		k.drop()
	}
	watch := k.r.watch(k.entry, serviceOf(t.route))
	t.kept = k.conn != nil
	if k.conn == nil && !k.dial() {
		return t
	}
	began := time.Now()
	again := t.exchange(k.conn, k.reader)
	t.took = time.Since(began)
	watch.ended(&t)
	k.answered, k.limit = time.Now(), k.r.idleLimit()
	if !again {
		k.drop()
	}
	return t
}

func (k *keeper) dial() bool {
	conn, err := net.DialTimeout("tcp", k.r.entryAddress(k.entry), time.Second)
	if err != nil {
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

func (k *keeper) drop() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}

// answeredWhole reports whether the client got an answer or a refusal, whole.
func (t *try) answeredWhole() bool { return t.status != 0 && t.whole }

// crossing is how long after a request was sent a close may still have crossed it
// on its way: far longer than a packet takes on loopback, also on a busy machine.
const crossing = 2 * time.Second

// lostBreaches checks that a whole request on a kept connection is answered or
// refused, if its instance ran undisturbed all the while and so did the servers of
// its service and the ways to them.
//
// It is a breach if a server has run the request, or if the connection ended without
// a word so late that the instance must have read the request. Legal are: a close
// that crosses the request on its way, so that no server gets it; an answer that had
// begun and was cut off when the route's time was over; a connection that was closed
// before, on which nothing could be sent.
func (t *try) lostBreaches(runs int) []Breach {
	if !t.kept || !t.clear || t.sent.IsZero() || t.answeredWhole() {
		return nil
	}
	timeOver := t.status != 0 && t.took >= shortestTimeout
	if timeOver || runs == 0 && t.took < crossing {
		return nil
	}
	detail := fmt.Sprintf("%s (%s) sent %s ran %d times, ended after %s with status %d", t.id, t.route, t.sent.Format("15:04:05.000"), runs, t.took.Round(time.Millisecond), t.status)
	if t.status == http.StatusOK {
		detail += ", cut off"
	}
	return []Breach{{"a request on a kept connection is answered or refused", detail}}
}
