package soak

import (
	"bufio"
	"bytes"
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

// routeTimeout is the routes' time, and answerSlack how much later an answer may
// come on a busy machine.
const (
	routeTimeout = 4 * time.Second
	answerSlack  = 6 * time.Second
)

// Clients: how many, and how long each pauses between requests.
const (
	clients     = 12
	clientPause = 60 * time.Millisecond
)

// try is one request and what its client saw.
type try struct {
	id, route, model string
	status           int
	body             string
	// whole: the answer ended as it said it would.
	whole bool
	took  time.Duration
	// undisturbed: the instance ran all the while.
	undisturbed bool
}

// startClients sends requests until ctx ends. The returned function waits and
// gives the counts.
func (r *run) startClients(ctx context.Context) func() Result {
	var work sync.WaitGroup
	var mu sync.Mutex
	var result Result
	for c := range clients {
		random := rand.New(rand.NewPCG(r.params.Seed, uint64(100+c)))
		work.Go(func() {
			for n := 0; pause.For(ctx, clientPause); n++ {
				t := r.try(random, fmt.Sprintf("try-%d-%d", c, n))
				r.seen.tried(t)
				mu.Lock()
				result.count(t)
				mu.Unlock()
			}
		})
	}
	return func() Result {
		work.Wait()
		return result
	}
}

func (r *Result) count(t try) {
	r.Requests++
	switch {
	case t.status == http.StatusOK && t.whole:
		r.Answered++
	case t.status == http.StatusServiceUnavailable:
		r.Refused++
	default:
		r.Failed++
	}
}

func (r *run) try(random *rand.Rand, id string) try {
	t := try{id: id, route: []string{"unsafe", "safe", "stream", "once"}[random.IntN(4)]}
	if t.route == "stream" || t.route == "once" {
		t.model = models[random.IntN(len(models))]
	}
	entry := random.IntN(len(r.entries))
	p := r.entries[entry]
	p.mu.Lock()
	starts, running := p.starts, p.cmd != nil && !p.frozen
	p.mu.Unlock()
	began := time.Now()
	t.send(r.entryAddress(entry))
	t.took = time.Since(began)
	p.mu.Lock()
	t.undisturbed = running && p.starts == starts && p.cmd != nil && !p.frozen
	p.mu.Unlock()
	return t
}

// send sends the request on a connection of its own.
func (t *try) send(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(routeTimeout + 2*answerSlack)) // a read that outlasts it ends the try
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n", t.route)
	_ = standin.ClientHeader(t.id, t.model, routeTimeout).Write(&text) // a buffer does not fail
	text.WriteString("\r\nbody")
	if _, err := conn.Write(text.Bytes()); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	t.status, t.body, t.whole = resp.StatusCode, string(body), err == nil
}

// expected is the whole answer to the request.
func (t *try) expected() string {
	if t.model == "" {
		return "POST /" + t.route + "/x body"
	}
	var b strings.Builder
	for i := range standin.StreamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, t.model)
	}
	return b.String()
}
