package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// request is a client's request, one try.
type request struct {
	to, path string
	// key, model and deadline are left out if empty.
	key, model string
	deadline   time.Duration
}

// answer is what a client got.
type answer struct {
	attempt string
	sent    time.Time
	status  int
	body    string
	err     error
}

// routeHost is the host of all routes.
const routeHost = "work.example"

var attempts atomic.Int64

// nextAttempt returns an id for an attempt.
func nextAttempt() string { return fmt.Sprintf("a%08x", 0x5100000+attempts.Add(1)) }

// send sends a request on a new channel and reads the answer.
func send(ctx context.Context, q request) answer {
	a := answer{attempt: nextAttempt()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.to+q.path, nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = routeHost
	r.Header.Set("Martenport-Attempt-Id", a.attempt)
	r.Header.Set("Martenport-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("X-Api-Key", q.key)
	}
	if q.model != "" {
		r.Method = http.MethodPost
		r.Header.Set("Martenport-Model", q.model)
		r.Header.Set("Martenport-Token-Count", "100,20")
		r.Header.Set("Martenport-Prompt-Prefix", "5c1e07a2:60,"+a.attempt[1:]+":40")
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	a.sent = time.Now()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	return a
}
