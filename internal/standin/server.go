package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// ServerModel is what a Server can load.
type ServerModel struct {
	MemoryMB, AdapterMB float64
	Load                time.Duration
}

// serverSlots is how many requests a Server says that it runs at once.
const serverSlots = 8

// ServerParams describe a Server.
type ServerParams struct {
	ID, Service, FailureDomain string
	// Models is empty for a plain service.
	Models       map[string]ServerModel
	MemoryMB     float64
	AdapterSlots int
	// Loaded are the models that it holds from the start.
	Loaded []string
	// Announced is the address in its entry, if not its own.
	Announced string
	// Poison begins the bodies of requests that end the server when it begins them; none if
	// empty.
	Poison string
	// EndsAfter is how long after the answer to such a request has broken off the server ends: it
	// still listens, and serves what else runs there.
	EndsAfter time.Duration
	// Unsealed: what it answers to them before has no proof that it made it.
	Unsealed bool
	// EventPause is the pause between events of a stream, Work what a plain
	// request takes.
	EventPause, Work time.Duration
}

// ReceivedOrder is an order as a Server got it.
type ReceivedOrder struct {
	Operation, Unit, Holder string
	Fence                   int64
	Accepted                bool
	At                      time.Time
}

// Server is a stand-in backend server, model engine or plain service, that
// speaks the users' platform's protocol: it announces itself in the store, takes
// orders that expect its sequence, answers requests once loaded, and notes what
// breaks a promise.
type Server struct {
	params  ServerParams
	address string
	http    *http.Server
	// born is the time of the start in milliseconds of the Unix epoch.
	born int64
	// ended is closed when the server has ended.
	ended chan struct{}
	end   sync.Once

	arrivals arrivals
	words    words

	mu         sync.Mutex
	loaded     map[string]map[string]bool // adapters by model; guarded by mu
	loading    string                     // guarded by mu
	sequence   int64                      // guarded by mu
	state      string                     // guarded by mu
	endedBy    string                     // the body of the request that ended it; guarded by mu
	entries    int64                      // written so far; guarded by mu
	orders     []ReceivedOrder            // guarded by mu
	runs       map[string]int             // by attempt id; guarded by mu
	cuts       int                        // streams still to cut; guarded by mu
	loseOrders int                        // answers to orders still to lose; guarded by mu
	violations []string                   // guarded by mu
}

// NewServer starts a Server on a free port of ip. Stop ends it.
func NewServer(ip string, p ServerParams) (*Server, error) {
	return NewServerAt(net.JoinHostPort(ip, "0"), p)
}

// NewServerAt starts a Server at an address.
func NewServerAt(address string, p ServerParams) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{params: p, address: l.Addr().String(), loaded: map[string]map[string]bool{}, runs: map[string]int{}, state: "ready", born: time.Now().UnixMilli(), ended: make(chan struct{})}
	for _, name := range p.Loaded {
		s.loaded[name] = map[string]bool{}
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Stop ends the server at once, as a crash does.
func (s *Server) Stop() {
	_ = s.http.Close()
	s.end.Do(func() { close(s.ended) })
}

// Ended is closed when the server has ended.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Address returns where the server listens.
func (s *Server) Address() string { return s.address }

// Announce writes the server's entry until ctx ends, as often as a platform's
// servers do.
func (s *Server) Announce(ctx context.Context, p store.Store, every time.Duration) {
	for {
		key := platform.PrefixServers + s.params.ID
		version := store.Revision(0)
		if obj, err := p.Get(ctx, key); err == nil {
			version = obj.Version
		}
		_, _ = p.Put(ctx, key, s.entry(), version) // tried again with the next one
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries++
	var onDisk []string
	for name := range s.params.Models {
		onDisk = append(onDisk, name)
	}
	slices.Sort(onDisk)
	address := s.address
	if s.params.Announced != "" {
		address = s.params.Announced
	}
	value, _ := json.Marshal(map[string]any{
		"service": s.params.Service, "address": address, "zone": s.params.FailureDomain, "version": "v1", "slots": serverSlots, "state": s.state,
		"coldLeftMs": 0, "sequence": s.entries,
		"born": s.born, "models": s.models(), "available": map[string]any{"onDisk": onDisk},
	})
	return value
}

// models needs mu.
func (s *Server) models() []map[string]any {
	models := []map[string]any{}
	for name, adapters := range s.loaded {
		list := []string{}
		for a := range adapters {
			list = append(list, a)
		}
		slices.Sort(list)
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": list})
	}
	return models
}

// Drain has the server announce that it leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// CutStreams cuts off the next n streams after their second event.
func (s *Server) CutStreams(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = n
}

// LoseOrderAnswers carries the next n orders out without an answer.
func (s *Server) LoseOrderAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseOrders = n
}

// PathState serves a Server's State to tests.
const PathState = "/standin/state"

// State is what a Server has seen.
type State struct {
	Service    string
	Orders     []ReceivedOrder
	Runs       map[string]int
	Violations []string
	// EndedBy is the body of the request that has ended the server, "" if none has.
	EndedBy string
	// Arrivals are the last attempts; Forgotten counts those before them.
	Arrivals  []Arrival
	Forgotten int
}

// State returns what the server has seen so far.
func (s *Server) State() State {
	arrived, forgotten := s.arrivals.all()
	s.mu.Lock()
	endedBy := s.endedBy
	s.mu.Unlock()
	return State{
		EndedBy: endedBy, Service: s.params.Service, Orders: s.Orders(), Runs: s.Runs(), Violations: s.Violations(), Arrivals: arrived, Forgotten: forgotten,
	}
}

// Orders returns the orders received so far.
func (s *Server) Orders() []ReceivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Runs returns how often each attempt has run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Violations returns what broke a promise, such as an order to load more than
// there is room for.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	said := s.words.write(w.Header())
	id := r.Header.Get("Martenport-Attempt-Id")
	if id != "" {
		s.arrivals.add(Arrival{ID: id, At: time.Now(), Workspace: r.Header.Get("Martenport-Tenant"), KeyTold: r.Header.Get(KeyHeader) != "", Said: said})
	}
	if expected := r.Header.Get("Martenport-Expect-Instance"); expected != "" && expected != s.params.ID {
		w.Header().Set("Martenport-Instance-Id", s.params.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id != "" && said.Rest != "" {
		said.turnAway(w, id)
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		s.serveOrder(w, r)
	case "/v1/report":
		s.serveReport(w)
	case PathState:
		writeJSON(w, s.State())
	case PathFault:
		s.serveFault(w, r)
	case PathSay:
		s.serveSay(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	report := map[string]any{"born": s.born, "models": s.models(), "busy": s.loading != "", "sequence": s.sequence}
	s.mu.Unlock()
	writeJSON(w, report)
}

type orderBody struct {
	Operation string `json:"op"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Expect == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.take(o)
	lose := s.loseOrders > 0
	if lose {
		s.loseOrders--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// take needs mu. It decides on an order and begins it.
func (s *Server) take(o orderBody) int {
	unit := strings.TrimSuffix(o.Model+"/"+o.Adapter, "/")
	received := ReceivedOrder{Operation: o.Operation, Unit: unit, Holder: o.Holder, Fence: o.Fence, At: time.Now()}
	defer func() { s.orders = append(s.orders, received) }()
	adapters, resident := s.loaded[o.Model]
	load := o.Operation == "model_load"
	switch {
	case s.loading != "" || *o.Expect != s.sequence:
		return http.StatusConflict
	case o.Adapter == "" && load == resident:
		return http.StatusOK
	case o.Adapter != "" && load == adapters[o.Adapter]:
		return http.StatusOK
	}
	received.Accepted = true
	s.sequence++
	switch {
	case o.Adapter != "" && !load:
		delete(adapters, o.Adapter)
		return http.StatusOK
	case o.Adapter != "":
		if adapters == nil {
			s.violations = append(s.violations, "adapter "+unit+" without its model")
			return http.StatusAccepted
		}
		adapters[o.Adapter] = true
	case !load:
		delete(s.loaded, o.Model)
	default:
		s.loading = o.Model
		time.AfterFunc(s.params.Models[o.Model].Load, func() { s.finishLoad(o.Model) })
	}
	s.checkRoom(unit)
	return http.StatusAccepted
}

func (s *Server) finishLoad(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[model] = map[string]bool{}
	s.loading = ""
}

// checkRoom needs mu.
func (s *Server) checkRoom(unit string) {
	memory, adapters := s.params.Models[s.loading].MemoryMB, 0
	for name, own := range s.loaded {
		m := s.params.Models[name]
		memory += m.MemoryMB + float64(len(own))*m.AdapterMB
		adapters += len(own)
	}
	if memory > s.params.MemoryMB || adapters > s.params.AdapterSlots {
		s.violations = append(s.violations, fmt.Sprintf("%s: %.0f MB and %d adapters are more than there is room for", unit, memory, adapters))
	}
}
