package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is a model that engines can load.
type model struct {
	weightsMB float64
	disk      time.Duration
}

// serverParams describe a server, over all starts of its process.
type serverParams struct {
	id, service, zone string
	// models are those that it can load; none for a plain service.
	models map[string]model
	// weightsMB is its memory for weights.
	weightsMB float64
	// pause is the time between the events of a stream, and events their number.
	pause  time.Duration
	events int
}

// run is a request that a server began to run.
type run struct {
	attempt, server, version, key string
	at                            time.Time
}

// server is a stand-in backend server. It may start several times under one id.
type server struct {
	params  serverParams
	log     *record
	store   *objectStore
	address string

	mu sync.Mutex
	// The fields below are those of the process that runs, if one does.
	running    bool
	http       *http.Server
	stop       context.CancelFunc
	born       int64
	version    string
	loaded     map[string]bool
	loading    string
	sequence   int64
	beats      int64
	connection map[net.Conn]struct{}
	// onDisk are the models on the machine's disk, which restarts preserve.
	onDisk map[string]bool
	// lateBy, if not zero, makes the next load get no answer: it is carried out up to that much later by whatever process runs then.
	lateBy time.Duration
	late   []order
	// orders are the orders that arrived, over all starts.
	orders []order
	// runs are the requests that were begun, over all starts, and overloads the orders to load more than there is room for.
	runs      []run
	overloads []string
	// cutOff is set while the server is partitioned from the store.
	cutOff bool
	// active are the streams that the server works on, and copies the copies of others' runs that it keeps, by attempt. peer
	// finds the server at an address.
	active map[string]*stream
	copies map[string]bool
	peer   func(address string) *server
	// onRun is called with each request that begins.
	onRun func(run)
}

// stream is a stream that a server works on.
type stream struct {
	attempt, path string
	events        int
	// breakOff ends its channel; the server works on.
	breakOff func()
	// backup is the server that its memory is sent to, nil if there is none.
	backup *server
}

// order is the body of a call for an order.
type order struct {
	Operation string `json:"op"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

func newServer(p serverParams, store *objectStore, log *record) *server {
	s := &server{params: p, store: store, log: log, onDisk: map[string]bool{}, active: map[string]*stream{}, copies: map[string]bool{}, peer: func(string) *server { return nil }, onRun: func(run) {}}
	for name := range p.models {
		s.onDisk[name] = true
	}
	return s
}

// start starts a process of the server, with the given models loaded.
func (s *server) start(ip, version string, loaded ...string) error {
	address := s.address
	if address == "" {
		address = ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	s.address, s.running, s.stop, s.born, s.version = l.Addr().String(), true, stop, time.Now().UnixMilli(), version
	s.loaded, s.loading, s.sequence, s.connection = map[string]bool{}, "", 0, map[net.Conn]struct{}{}
	for _, name := range loaded {
		s.loaded[name] = true
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track}
	server := s.http
	s.mu.Unlock()
	s.log.add("server %s starts, version %s, at %s", s.params.id, version, s.address)
	go func() { _ = server.Serve(l) }() // ends with crash
	go s.announce(ctx)
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connection[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.connection, c)
	}
}

// crash ends the process at once. Its channels are reset.
func (s *server) crash() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.stop()
	for c := range s.connection {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := s.http
	s.mu.Unlock()
	_ = server.Close()
	s.log.add("server %s ends", s.params.id)
}

// beatInterval is heartbeatMs of the settings.
const beatInterval = 1200 * time.Millisecond

// announce keeps the server's entry in the store until ctx ends.
func (s *server) announce(ctx context.Context) {
	for {
		s.writeEntry()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// writeEntry writes the entry if more has changed than the number of the beat.
func (s *server) writeEntry() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"service": s.params.service, "address": s.address, "zone": s.params.zone, "version": s.version, "slots": 64, "state": "ready",
		"coldLeftMs": 0, "sequence": s.beats, "born": s.born, "stage": "unified", "models": s.models(), "available": s.available(),
	}
	running := s.running && !s.cutOff
	s.mu.Unlock()
	if !running {
		return
	}
	var known map[string]any
	if spec := s.store.spec("servers", s.params.id); spec != nil && json.Unmarshal(spec, &known) == nil {
		now, _ := json.Marshal(entry)
		var next map[string]any
		_ = json.Unmarshal(now, &next)
		delete(known, "sequence")
		delete(next, "sequence")
		if fmt.Sprint(known) == fmt.Sprint(next) {
			return
		}
	}
	s.store.put("servers", s.params.id, entry)
}

// models returns what is loaded. s.mu must be held.
func (s *server) models() []map[string]any {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(s.loaded)) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// available returns from where models can be loaded. s.mu must be held.
func (s *server) available() map[string]any {
	return map[string]any{"inMemory": []string{}, "onDisk": slices.Sorted(maps.Keys(s.onDisk))}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Martenport-Expect-Instance"); expected != "" && expected != s.params.id {
		w.Header().Set("Martenport-Instance-Id", s.params.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		s.serveReport(w)
	case "/v1/order":
		s.serveOrder(w, r)
	default:
		if id, isCopy := strings.CutPrefix(r.URL.Path, "/v1/kv-handle/"); isCopy && r.Method == http.MethodDelete {
			s.mu.Lock()
			delete(s.copies, id)
			s.mu.Unlock()
			return
		}
		s.serveRequest(w, r)
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	report := map[string]any{
		"stage": "unified", "models": s.models(), "busy": s.loading != "", "sequence": s.sequence, "queued": 0, "running": 0, "kvUsed": 0,
		"kvTotal": 100000, "handles": len(s.copies), "born": s.born, "available": s.available(), "runs": s.activeRuns(), "pending": []string{},
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the caller may have left
}

// activeRuns returns the streams as a report lists them. s.mu must be held.
func (s *server) activeRuns() [][]any {
	runs := [][]any{}
	for id, r := range s.active {
		runs = append(runs, []any{id, 100 + r.events, r.events, 0})
	}
	return runs
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Expect == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.orders = append(s.orders, o)
	if s.lateBy > 0 && o.Operation == "model_load" && *o.Expect == s.sequence {
		by := s.lateBy
		s.lateBy = 0
		s.late = append(s.late, o)
		s.mu.Unlock()
		s.log.say("server %s: %s of %s, expect %d, gets no answer and is carried out up to %s later", s.params.id, o.Operation, o.Model, *o.Expect, by)
		go func() {
			s.awaitMoment(o, by)
			s.carryOutLate(o)
		}()
		<-r.Context().Done()
		return
	}
	status := s.accept(o)
	s.log.add("server %s: %s of %s, expect %d, from %s, fence %d: %d", s.params.id, o.Operation, o.Model, *o.Expect, o.Holder, o.Fence, status)
	s.mu.Unlock()
	w.WriteHeader(status)
}

// minLate is how late an order that got no answer is carried out at the earliest.
const minLate = 2 * time.Second

// awaitMoment waits until the server is idle at the sequence that an order names and has no room for its model, at the earliest
// minLate from now and at the latest after the given time.
func (s *server) awaitMoment(o order, longest time.Duration) {
	sent := time.Now()
	time.Sleep(minLate)
	for time.Since(sent) < longest {
		s.mu.Lock()
		reached := s.running && s.loading == "" && s.sequence == *o.Expect && !s.loaded[o.Model] && s.neededFor(o.Model) > s.params.weightsMB
		s.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// neededFor returns the memory that is needed with one more model. s.mu must be held.
func (s *server) neededFor(name string) float64 {
	needed := s.params.models[name].weightsMB
	for loaded := range s.loaded {
		needed += s.params.models[loaded].weightsMB
	}
	return needed
}

// carryOutLate carries out an order that got no answer.
func (s *server) carryOutLate(o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	loaded, sequence := slices.Sorted(maps.Keys(s.loaded)), s.sequence
	s.log.say("server %s: late %s of %s, expect %d, arrives at sequence %d with %v loaded: %d", s.params.id, o.Operation, o.Model, *o.Expect, sequence, loaded, s.accept(o))
}

// accept decides on an order and begins to carry it out. s.mu must be held.
func (s *server) accept(o order) int {
	load := o.Operation == "model_load"
	switch {
	case s.loading != "" || *o.Expect != s.sequence:
		return http.StatusConflict
	case load == s.loaded[o.Model]:
		return http.StatusOK
	}
	s.sequence++
	if !load {
		delete(s.loaded, o.Model)
		return http.StatusAccepted
	}
	if needed := s.neededFor(o.Model); needed > s.params.weightsMB {
		s.overloads = append(s.overloads, fmt.Sprintf("%s is ordered to load %s by %s: %.0f MB of %.0f MB", s.params.id, o.Model, o.Holder, needed, s.params.weightsMB))
		go s.crash()
		return http.StatusAccepted
	}
	s.loading = o.Model
	born := s.born
	time.AfterFunc(s.params.models[o.Model].disk, func() {
		s.mu.Lock()
		if s.born == born {
			s.loaded[o.Model], s.loading = true, ""
			s.onDisk[o.Model] = true
		}
		s.mu.Unlock()
		s.writeEntry()
	})
	return http.StatusAccepted
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("Martenport-Attempt-Id")
	if err != nil || id == "" {
		w.Header().Set("Martenport-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Martenport-Attempt-Id", id)
	name := r.Header.Get("Martenport-Model")
	s.mu.Lock()
	if name != "" && !s.loaded[name] {
		s.mu.Unlock()
		w.Header().Set("Martenport-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if from := r.Header.Get("Kv-From"); from != "" && !s.copies[id] {
		s.mu.Unlock()
		w.Header().Set("Martenport-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	begun := run{attempt: id, server: s.params.id, version: s.version, key: r.Header.Get("Martenport-Tenant"), at: time.Now()}
	s.runs = append(s.runs, begun)
	report := s.onRun
	s.mu.Unlock()
	s.log.add("server %s runs %s, tenant %q, model %q, after %q, from %q", s.params.id, id, begun.key, name, r.Header.Get("Last-Event-Id"), r.Header.Get("Kv-From"))
	report(begun)
	w.Header().Set("Martenport-Server-Seal", "seal."+s.params.id)
	if name == "" {
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, id, len(body)) // the caller may have left
		return
	}
	s.stream(w, r, begun.version)
}

// stream sends events that name the software version that wrote them. If its channel is broken off by breakOff the server works
// on; if the other end closes it, the server drops the request.
func (s *server) stream(w http.ResponseWriter, r *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Martenport-Weight-Versions", "1")
	after, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	broken := make(chan struct{})
	work := &stream{attempt: r.Header.Get("Martenport-Attempt-Id"), path: r.URL.Path, breakOff: sync.OnceFunc(func() { close(broken) })}
	if address := r.Header.Get("Martenport-Kv-Backup"); address != "" {
		work.backup = s.peer(address)
	}
	s.begin(work)
	defer s.finish(work)
	gone := r.Context().Done()
	events, pause := s.params.events, s.params.pause
	if strings.HasPrefix(work.path, albumPath) {
		events, pause = albumEvents, albumPause
	}
	for n := after + 1; n <= events; n++ {
		if gone != nil {
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, version, s.params.id)
			if err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
		s.mu.Lock()
		work.events = n
		s.mu.Unlock()
		work.sendBackup(true)
		select {
		case <-time.After(pause):
		case <-broken:
			s.log.add("server %s breaks off the answer to %s after event %d, and works on", s.params.id, work.attempt, n)
			cut(w)
			gone, broken = nil, nil
		case <-gone:
			return
		}
	}
	work.sendBackup(false)
}

// begin and finish record the streams that the server works on.
func (s *server) begin(work *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[work.attempt] = work
}

func (s *server) finish(work *stream) {
	s.log.add("server %s works on %s no more, event %d", s.params.id, work.attempt, work.events)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[work.attempt] == work {
		delete(s.active, work.attempt)
	}
}

// sendBackup makes the backup engine keep a copy of the run, or drop it.
func (work *stream) sendBackup(keep bool) {
	if work.backup == nil {
		return
	}
	work.backup.mu.Lock()
	defer work.backup.mu.Unlock()
	if keep {
		work.backup.copies[work.attempt] = true
	} else {
		delete(work.backup.copies, work.attempt)
	}
}
