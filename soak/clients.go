package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// answerSlack is how much later than the route's time an answer may come on a busy
// machine.
const answerSlack = 6 * time.Second

// Clients: how many at least, how many for each instance, and how long each pauses
// between requests.
const (
	clients     = 12
	eachEntry   = 2
	clientPause = 60 * time.Millisecond
)

// freshRoutes are those of clients that open a connection for each request. Most
// may be sent once more when a server fails, so that the budget is put to use.
var freshRoutes = []string{"unsafe", "safe", "safe", "stream", "once"}

// samePayload is what half of the requests bear, so that many ask for the same.
const samePayload = "body"

// try is one request and what its client saw.
type try struct {
	id, route, model string
	// key is that of the steady workspace if empty.
	key string
	// payload is the body; samePayload if empty.
	payload string
	status  int
	body    string
	// whole: the answer ended as it said it would.
	whole bool
	took  time.Duration
	// sent is when the request was written whole; zero if it was not.
	sent time.Time
	// kept: the connection had carried another request before.
	kept bool
	// undisturbed: the instance ran all the while.
	undisturbed bool
	// entry is the instance that it was sent to. inTouch: it had not been disturbed for a while,
	// and nor had the store; calm is since when it had not been.
	entry   int
	inTouch bool
	calm    time.Time
	// clear: nothing at all disturbed the instance, the servers of the service or
	// the ways to them.
	clear bool
}

// startClients sends requests until ctx ends. The returned function waits and
// gives the counts.
func (r *run) startClients(ctx context.Context) func() Result {
	var work sync.WaitGroup
	var mu sync.Mutex
	var result Result
	ended := func(t try) {
		r.seen.tried(t)
		mu.Lock()
		defer mu.Unlock()
		result.count(t)
	}
	for c := range max(clients, eachEntry*len(r.entries)) {
		random := rand.New(rand.NewPCG(r.params.Seed, uint64(100+c)))
		work.Go(func() {
			for n := 0; pause.For(ctx, clientPause); n++ {
				ended(r.try(random, fmt.Sprintf("try-%d-%d", c, n)))
			}
		})
	}
	r.startKeepers(ctx, &work, ended)
	return func() Result {
		work.Wait()
		return result
	}
}

func (r *Result) count(t try) {
	r.Requests++
	if t.kept && t.clear && !t.sent.IsZero() {
		r.KeptClear++
	}
	switch {
	case t.status == http.StatusOK && t.whole:
		r.Answered++
	case t.refused():
		r.Refused++
	default:
		r.Failed++
	}
}

func (r *run) try(random *rand.Rand, id string) try {
	t := try{id: id, route: freshRoutes[random.IntN(len(freshRoutes))], key: r.drawKey(random)}
	if random.IntN(2) == 0 {
		t.payload = "body of " + id
	}
	if t.route == "stream" || t.route == "once" {
		t.model = models[random.IntN(len(models))]
	}
	entry := random.IntN(len(r.entries))
	t.entry, t.inTouch, t.calm = entry, r.inTouch(entry, time.Now()), r.entries[entry].calmSince()
	watch := r.watch(entry, serviceOf(t.route))
	began := time.Now()
	t.send(r.entryAddress(entry))
	t.took = time.Since(began)
	watch.ended(&t)
	return t
}

// send sends the request on a connection of its own.
func (t *try) send(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	t.exchange(conn, bufio.NewReader(conn))
}

// exchange sends the request and reads the answer. It reports whether the connection
// may carry another one.
func (t *try) exchange(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetDeadline(time.Now().Add(routeTimeout + 2*answerSlack)) // a read that outlasts it ends the try
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", t.route, len(t.sends()))
	header := standin.ClientHeader(t.id, t.model, routeTimeout)
	header.Set(standin.KeyHeader, cmp.Or(t.key, steadyKey))
	_ = header.Write(&text) // a buffer does not fail
	text.WriteString("\r\n" + t.sends())
	now := time.Now()
	if _, err := conn.Write(text.Bytes()); err != nil {
		return false
	}
	t.sent = now
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	t.status, t.body, t.whole = resp.StatusCode, string(body), err == nil
	return t.whole && !resp.Close
}

// refused reports whether the client was told that the request has not run.
func (t *try) refused() bool {
	return t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests || t.status == http.StatusUnauthorized
}

// sends is the body of the request.
func (t *try) sends() string {
	if t.payload == "" {
		return samePayload
	}
	return t.payload
}

// expected is the whole answer to the request.
func (t *try) expected() string {
	if t.model == "" {
		return "POST /" + t.route + "/x " + t.sends()
	}
	var b strings.Builder
	for i := range standin.StreamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, t.model)
	}
	return b.String()
}
