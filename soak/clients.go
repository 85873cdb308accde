package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// answerSlack is how far past the route's timeout an answer may arrive on a loaded machine.
const answerSlack = 6 * time.Second

// The minimum number of clients, the number per instance, and the pause of a client between requests.
const (
	minClients      = 12
	clientsPerEntry = 2
	clientPause     = 60 * time.Millisecond
)

// newConnRoutes are the routes of clients that open a connection per request. Most of them permit a repeated send
// after a server failure, so that the budget is exercised.
var newConnRoutes = []string{"unsafe", "safe", "safe", "stream", "once"}

// defaultPayload is the body of half of the requests, so that many clients send the same request.
const defaultPayload = "body"

// clientRequest is a request and what its client observed.
type clientRequest struct {
	id, route, model string
	// key is the API key; empty means steadyKey.
	key string
	// payload is the body; empty means defaultPayload. prompt are the parts of the prompt; empty means that none are sent.
	payload, prompt string
	// withoutBody makes it a GET request without a body, whose payload is the last segment of its path.
	withoutBody bool
	// lastEvent and resumes are the last event that the client has of the stream that it takes up, and the attempt that
	// brought the first one.
	lastEvent int
	resumes   string
	// takeUps is how often the client has taken the stream up, this attempt included.
	takeUps int
	// parts are the events that the client has from its attempts before.
	parts []string
	// leaveAfter is the number of events after which the client leaves; 0 for never.
	leaveAfter int
	// versions are the software versions of the engines whose events the client has.
	versions []string
	status   int
	body     string
	// retryAfter is the header of that name in the answer.
	retryAfter string
	// complete reports whether the whole answer was read.
	complete bool
	duration time.Duration
	// sentAt is the time just before the request was written. It is zero if the write failed.
	sentAt time.Time
	// conns are the open connections of its client; nil if it opens a connection for each request.
	conns openConns
	// reusedConn reports whether the connection had carried an earlier request.
	reusedConn bool
	// entryRunning reports whether the instance ran during the whole request.
	entryRunning bool
	// entry is the instance that the request was sent to, and entryStable reports whether it was stable (see
	// run.entryStable) when the request was sent. The instance has not been disturbed since entryUndisturbedSince.
	entry                 int
	entryStable           bool
	entryUndisturbedSince time.Time
	// undisturbed reports whether no fault affected the instance, the servers of the service or the connections to
	// them.
	undisturbed bool
}

// startClients starts the clients, which send requests until ctx is done. The returned function waits for them and
// returns the counts.
func (r *run) startClients(ctx context.Context) func() Result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var result Result
	record := func(req clientRequest) {
		r.history.addRequest(req)
		mu.Lock()
		defer mu.Unlock()
		result.count(req)
	}
	for c := range max(minClients, clientsPerEntry*len(r.entries)) {
		random := rand.New(rand.NewPCG(r.params.Seed, uint64(100+c)))
		wg.Go(func() {
			for n := 0; pause.For(ctx, clientPause); n++ {
				req := r.sendOnNewConn(random, fmt.Sprintf("try-%d-%d", c, n))
				record(req)
				r.takeStreamUp(ctx, random, req, maxTakeUpPause, record)
			}
		})
	}
	r.startKeepAliveClients(ctx, &wg, record)
	r.startBursts(ctx, &wg, record)
	return func() Result {
		wg.Wait()
		return result
	}
}

func (r *Result) count(req clientRequest) {
	r.Requests++
	r.countClass(req)
	if req.reusedConn && req.undisturbed && !req.sentAt.IsZero() {
		r.UndisturbedReused++
	}
	switch {
	case req.status == http.StatusOK && req.complete:
		r.Answered++
	case req.refused():
		r.Refused++
	default:
		r.Failed++
	}
}

func (r *run) sendOnNewConn(random *rand.Rand, id string) clientRequest {
	req := clientRequest{id: id, route: newConnRoutes[random.IntN(len(newConnRoutes))], key: r.drawKey(random)}
	if random.IntN(2) == 0 {
		req.payload = "body-of-" + id
	}
	req.withoutBody = random.IntN(withoutBodyShare) == 0
	if req.route == "stream" || req.route == "once" {
		req.model = models[random.IntN(len(models))]
		req.prompt = drawPrompt(random, id)
	}
	if req.route == "stream" && random.IntN(leaveShare) == 0 {
		req.leaveAfter = leaveAfter
	}
	r.sendTo(r.drawEntry(random), &req)
	return req
}

// sendTo sends a request to an instance on a new connection, and records what was undisturbed.
func (r *run) sendTo(entry int, req *clientRequest) {
	req.entry, req.entryStable, req.entryUndisturbedSince = entry, r.entryStable(entry, time.Now()), r.entries[entry].undisturbedSince()
	observed := r.observe(entry, serviceOf(req.route))
	began := time.Now()
	if req.conns != nil {
		req.conns.send(r.entryAddress(entry), r.idleTimeout(), req)
	} else {
		req.send(r.entryAddress(entry))
	}
	req.duration = time.Since(began)
	observed.finish(req)
	r.takeUps.record(req)
}

// withoutBodyShare is the ratio of all requests on new connections to those without a body.
const withoutBodyShare = 3

// clientIPs is the number of addresses that clients connect from.
const clientIPs = 64

// send sends the request on a new connection, from one of the clients' addresses.
func (req *clientRequest) send(address string) {
	conn, err := dialEntry(address)
	if err != nil {
		return
	}
	defer conn.Close()
	req.exchange(conn, bufio.NewReader(conn))
}

// dialEntry opens a connection to an instance, from one of the clients' addresses.
func dialEntry(address string) (net.Conn, error) {
	local := net.IPv4(127, 1, 0, byte(1+rand.IntN(clientIPs)))
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: local}}
	return dialer.Dial("tcp", address)
}

// exchange sends the request and reads the answer. It reports whether the connection can be reused.
func (req *clientRequest) exchange(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetDeadline(time.Now().Add(longestTimeout + 2*answerSlack)) // a read beyond the deadline ends the request
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s HTTP/1.1\r\nHost: h.example\r\n", req.methodAndTarget())
	if !req.withoutBody {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(req.requestBody()))
	}
	header := standin.ClientHeader(req.id, req.model, longestTimeout)
	header.Set(standin.KeyHeader, cmp.Or(req.key, steadyKey))
	if req.prompt != "" {
		header.Set("Martenport-Prompt-Prefix", req.prompt)
	}
	if req.resumes != "" {
		header.Set("Last-Event-Id", strconv.Itoa(req.lastEvent))
		header.Set("Resumes", req.resumes)
	}
	_ = header.Write(&text) // writes to a bytes.Buffer do not fail
	text.WriteString("\r\n" + req.requestBody())
	now := time.Now()
	if _, err := conn.Write(text.Bytes()); err != nil {
		return false
	}
	req.sentAt = now
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	events := 0
	if resp.StatusCode == http.StatusOK {
		events = req.leaveAfter
	}
	body, err := readStream(resp.Body, events)
	if !errors.Is(err, errLeft) { // to close the body is to read the rest of it
		_ = resp.Body.Close()
	}
	plain, versions := splitVersions(string(body))
	for _, version := range versions {
		if !slices.Contains(req.versions, version) {
			req.versions = append(req.versions, version)
		}
	}
	req.status, req.body, req.complete, req.retryAfter = resp.StatusCode, plain, err == nil, resp.Header.Get("Retry-After")
	return req.complete && !resp.Close
}

// refused reports whether the client was told that the request was not run.
func (req *clientRequest) refused() bool {
	return req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests || req.status == http.StatusUnauthorized
}

// methodAndTarget returns the method and the target of the request.
func (req *clientRequest) methodAndTarget() string {
	if req.withoutBody {
		return "GET /" + req.route + "/" + cmp.Or(req.payload, defaultPayload)
	}
	return "POST /" + req.route + "/x"
}

// requestBody returns the body of the request.
func (req *clientRequest) requestBody() string {
	if req.withoutBody {
		return ""
	}
	return cmp.Or(req.payload, defaultPayload)
}

// expectedBody returns the complete body of a correct answer.
func (req *clientRequest) expectedBody() string {
	if req.model == "" {
		return req.methodAndTarget() + " " + req.requestBody()
	}
	var b strings.Builder
	for i := req.lastEvent; i < standin.StreamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, req.model)
	}
	return b.String()
}
