package lab

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// PlainParams describe a server of a plain service.
type PlainParams struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration
}

// Plain is a stand-in of a server without models.
type Plain struct {
	PlainParams
	address string
	fleet   *Fleet

	mu    sync.Mutex
	beats int
	taken int
	runs  []*Run
	// arrived are the requests that have begun to arrive.
	arrived []string
	slots   chan struct{}
}

// AddPlain starts a plain server on a machine of its own, and lets it announce itself.
func (f *Fleet) AddPlain(machine int, p PlainParams) (*Plain, error) {
	s := &Plain{PlainParams: p, address: f.Address(machine, serverPort), fleet: f, slots: make(chan struct{}, p.Slots)}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	f.serve(l, s)
	s.announce()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.announce()
			case <-f.ctx.Done():
				return
			}
		}
	}()
	return s, nil
}

// announce writes the server's entry.
func (s *Plain) announce() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready",
		"coldLeftMs": 0, "sequence": s.beats, "born": s.fleet.record.start.UnixMilli(),
	}
	s.mu.Unlock()
	s.fleet.Store.Put("servers", s.ID, entry)
}

// Runs returns copies of all runs.
func (s *Plain) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Run
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Arrived returns the requests that have begun to arrive.
func (s *Plain) Arrived() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrived)
}

// take reserves a slot or a place in the queue.
func (s *Plain) take(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.taken >= s.Slots+s.Queue {
		return false
	}
	s.taken += n
	return true
}

// ServeHTTP implements http.Handler.
func (s *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Martenport-Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Martenport-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Martenport-Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Martenport-Attempt-Id")
	s.mu.Lock()
	s.arrived = append(s.arrived, id)
	s.mu.Unlock()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Martenport-Attempt-Id", id)
	if !s.take(1) {
		notExecuted(w)
		return
	}
	defer s.take(-1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	run := &Run{Request: id, Server: s.ID, Began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	time.Sleep(s.Work)
	s.mu.Lock()
	run.Ended = time.Now()
	s.mu.Unlock()
	s.fleet.record.Note("server %s has run %s, a body of %d bytes", s.ID, id, size)
	w.Header().Set("Martenport-Server-Seal", "seal."+s.ID+"."+id)
	_, _ = w.Write(make([]byte, 800))
}
