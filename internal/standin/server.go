package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ServerModel is a model that a Server can load.
type ServerModel struct {
	MemoryMB, AdapterMB float64
	Load                time.Duration
}

// ServerParams are the parameters of a Server.
type ServerParams struct {
	ID, Service, FailureDomain string
	// Version is the version of its software; "v1" if empty. If it is set, each event of a stream ends with it.
	Version string
	// Models are the models that it can load; empty for a plain service.
	Models       map[string]ServerModel
	MemoryMB     float64
	AdapterSlots int
	// Loaded are the models that are loaded at the start.
	Loaded []string
	// OmitStart makes the server announce no start.
	OmitStart bool
	// Announced is the address in its store entry; its own address if empty.
	Announced string
	// PoisonPrefix is the prefix of the bodies of requests that crash the server when it begins to run them, and of the
	// last segments of their paths if they have no body; none if empty.
	PoisonPrefix string
	// PoisonPart is the beginning of the IDs of prompt parts that crash the server when it begins to write an answer to a
	// request with them, unless they are the request's last part; none if empty.
	PoisonPart string
	// CrashDelay is the time between the cut-off of the answer to such a request and the end of the server. Until
	// then the server still listens and serves its other requests.
	CrashDelay time.Duration
	// OmitSeal makes the server send the headers of the answer to such a request without its seal, so that nothing
	// proves that the server made the answer.
	OmitSeal bool
	// Unframed makes the server send answers with neither a length nor chunks, which end with their connections. Those
	// that break off do so by a reset, and streams within an event if CloseWithinEvent is set.
	Unframed, CloseWithinEvent bool
	// EventPause is the pause between events of a stream, Work the duration of a plain request.
	EventPause, Work time.Duration
	// Slots is the number of requests that it runs concurrently; defaultSlots if 0.
	Slots int
	// Queue is how many requests wait for a slot; if 0, a server that is not brittle runs all at once. BrittleQueue is the
	// same for a brittle server.
	Queue, BrittleQueue int
}

// defaultSlots is the number of requests that a Server runs concurrently unless its parameters state another.
const defaultSlots = 8

// slots returns the number of requests that the server runs concurrently.
func (p *ServerParams) slots() int { return cmp.Or(p.Slots, defaultSlots) }

// ReceivedOrder is an order that a Server received.
type ReceivedOrder struct {
	Operation, Unit, Holder string
	Fence                   int64
	Accepted                bool
	At                      time.Time
}

// Server is a stand-in backend server, either a model engine or a plain service, that implements the protocol of
// the users' platform: it announces itself in the store, accepts orders that expect its current sequence, answers
// requests for loaded models, and records violations: orders that exceed its capacity or load an adapter without its
// model.
type Server struct {
	params  ServerParams
	address string
	http    *http.Server
	// born is the start time in Unix milliseconds, 0 if it is not announced.
	born int64
	// ended is closed when the server has ended.
	ended chan struct{}
	end   sync.Once

	arrivals     arrivalLog
	backpressure backpressureState
	admission    admission
	pause        pauseState
	endless      endlessState
	garbage      garbageState
	// headFault is the fault of answers' heads, nil for none, and headFaultsSent the number of such answers.
	headFault      atomic.Pointer[HeadFault]
	headFaultsSent atomic.Int64
	// earlyAnswer is how requests are answered before their bodies have been read, nil if they are not, and earlyAnswersSent the
	// number of such answers.
	earlyAnswer      atomic.Pointer[EarlyAnswer]
	earlyAnswersSent atomic.Int64

	mu                 sync.Mutex
	loaded             map[string]map[string]bool // adapters by model; guarded by mu
	loading            string                     // guarded by mu
	sequence           int64                      // guarded by mu
	state              string                     // guarded by mu
	endedByRejections  bool                       // whether it ended because of rejections; guarded by mu
	endedBy            string                     // the body of the request that crashed it; guarded by mu
	entrySequence      int64                      // number of entries written; guarded by mu
	orders             []ReceivedOrder            // guarded by mu
	runs               map[string]int             // by attempt id; guarded by mu
	streamsToCut       int                        // number of streams still to cut off; guarded by mu
	orderAnswersToLose int                        // number of answers to orders still to lose; guarded by mu
	reportsHeld        bool                       // whether no reports are sent; guarded by mu
	violations         []string                   // guarded by mu
	backups            map[string]int             // events by attempt id of runs elsewhere; guarded by mu
	active             map[string]int             // events by attempt id of own streams; guarded by mu
}

// NewServer starts a Server on a free port of ip. Stop ends it.
func NewServer(ip string, p ServerParams) (*Server, error) {
	return NewServerAt(net.JoinHostPort(ip, "0"), p)
}

// NewServerAt starts a Server at an address. Stop ends it.
func NewServerAt(address string, p ServerParams) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{params: p, address: l.Addr().String(), loaded: map[string]map[string]bool{}, runs: map[string]int{}, backups: map[string]int{}, active: map[string]int{}, state: "ready", born: p.start(), ended: make(chan struct{})}
	for _, name := range p.Loaded {
		s.loaded[name] = map[string]bool{}
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Stop ends the server immediately, as in a crash.
func (s *Server) Stop() {
	_ = s.http.Close()
	s.end.Do(func() { close(s.ended) })
}

// Ended returns a channel that is closed when the server has ended.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// Drain makes the server announce that it is leaving.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// CutStreams cuts off the next n streams after their second event.
func (s *Server) CutStreams(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamsToCut = n
}

// LoseOrderAnswers makes the next n orders take effect without an answer.
func (s *Server) LoseOrderAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderAnswersToLose = n
}

// Orders returns the orders received so far.
func (s *Server) Orders() []ReceivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Runs returns the number of runs by attempt ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Violations returns descriptions of the orders that exceeded the server's capacity or loaded an adapter without
// its model.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// pathOfStandin is the beginning of the paths that set and return the state of a Server.
const pathOfStandin = "/standin/"

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.pause.wait()
	signals := s.backpressure.write(w.Header())
	id := r.Header.Get("Martenport-Attempt-Id")
	if id != "" {
		s.arrivals.record(Arrival{ID: id, At: time.Now(), Remaining: remainingTime(r), Workspace: r.Header.Get("Martenport-Tenant"), KeyTold: r.Header.Get(KeyHeader) != "", Said: signals})
	}
	if expected := r.Header.Get("Martenport-Expect-Instance"); expected != "" && expected != s.params.ID {
		w.Header().Set("Martenport-Instance-Id", s.params.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault, found := s.endless.faultFor(r); found {
		s.sendEndless(w, r, fault)
		return
	}
	if fault, found := s.garbage.takeFor(r); found {
		s.sendGarbage(w, r, fault)
		return
	}
	if fault := s.headFault.Load(); fault != nil && id != "" {
		s.sendHeadFault(w, r, fault)
		return
	}
	if early := s.earlyAnswer.Load(); early != nil && id != "" {
		s.sendEarlyAnswer(w, r, early)
		return
	}
	if id != "" && signals.Rest != "" {
		signals.refuseRequest(w, id)
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		s.serveOrder(w, r)
	case "/v1/report":
		s.serveReport(w)
	case PathState:
		writeJSON(w, s.State())
	case PathBackup:
		s.serveBackup(r)
	case PathFault:
		s.serveFault(w, r)
	case PathBackpressure:
		s.serveBackpressure(w, r)
	case PathBrittle:
		s.serveBrittle(w, r)
	case PathEndless:
		s.serveEndless(w, r)
	case PathGarbage:
		s.serveGarbage(w, r)
	default:
		if handle, found := strings.CutPrefix(r.URL.Path, pathHandles); found && r.Method == http.MethodDelete {
			s.freeBackup(w, handle)
			return
		}
		if id != "" && !s.admit(w, r, id) {
			return
		}
		if id != "" {
			defer s.admission.end()
		}
		if (s.params.Unframed || streamFormOf(r.URL.Query()).framing == FramingNone) && id != "" {
			serveUnframed(w, r, !s.params.CloseWithinEvent, s.serveRequest)
			return
		}
		s.serveRequest(w, r)
	}
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.awaitReport()
	s.mu.Lock()
	report := map[string]any{"born": s.born, "models": s.models(), "busy": s.loading != "", "sequence": s.sequence, "runs": s.activeRuns()}
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
	status := s.acceptOrder(o)
	lose := s.orderAnswersToLose > 0
	if lose {
		s.orderAnswersToLose--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// acceptOrder decides on an order, begins to carry it out if it is accepted, and returns the HTTP status of the
// answer. s.mu must be held.
func (s *Server) acceptOrder(o orderBody) int {
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
	s.checkCapacity(unit)
	return http.StatusAccepted
}

func (s *Server) finishLoad(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[model] = map[string]bool{}
	s.loading = ""
}

// checkCapacity records a violation if the loaded units exceed the server's memory or adapter slots. s.mu must be
// held.
func (s *Server) checkCapacity(unit string) {
	memory, adapters := s.params.Models[s.loading].MemoryMB, 0
	for name, loadedAdapters := range s.loaded {
		m := s.params.Models[name]
		memory += m.MemoryMB + float64(len(loadedAdapters))*m.AdapterMB
		adapters += len(loadedAdapters)
	}
	if memory > s.params.MemoryMB || adapters > s.params.AdapterSlots {
		s.violations = append(s.violations, fmt.Sprintf("%s: %.0f MB and %d adapters are more than there is room for", unit, memory, adapters))
	}
}
