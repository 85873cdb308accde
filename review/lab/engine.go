package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// backupInterval is how often a run's memory is sent to its backup engine.
const backupInterval = 200 * time.Millisecond

// Run is one run of a request on a server.
type Run struct {
	Request, Server string
	Began, Ended    time.Time
	// Events is the number of events made.
	Events int
	model  string
}

// EngineParams describe an engine.
type EngineParams struct {
	ID, Service, Zone, Version string
	Slots                      int
	Models                     []string
	// InMemory are the models whose weights the engine has in memory or on disk.
	InMemory []string
	// Events is the number of events of a stream, and Pace the time between two of them.
	Events int
	Pace   time.Duration
	// ReportLag is the age of the values in a report.
	ReportLag time.Duration
	// LoadTime is how long a load takes, and SlowerBy the fraction by which it is longer for each other load that runs on
	// the engines.
	LoadTime time.Duration
	SlowerBy float64
	// Repeat reports whether the answer to a request is to be given once more, late: at the point where the next answer
	// on its channel is expected.
	Repeat func(request string) bool
	// FirstEvent is how long a request takes to its first event, and Poison returns whether a request crashes the engine
	// then, given its body.
	FirstEvent time.Duration
	Poison     func(body string) bool
	// DownTime is how long a crashed engine is down. It comes back under its id, and holds nothing.
	DownTime time.Duration
}

// Engine is a stand-in of a model engine.
type Engine struct {
	EngineParams
	address string
	fleet   *Fleet

	mu       sync.Mutex
	born     time.Time
	server   *http.Server
	down     bool
	crashes  int
	models   map[string]bool
	sequence int
	beats    int
	busy     bool
	// loading is the model of the order that is being carried out, "" if there is none.
	loading string
	runs    []*Run
	// rejected is the number of requests that were turned away, and repeated that of answers given twice.
	rejected, repeated int
	backups            map[string]int
}

// engines are all engines of the process by address: they hand each other copies of runs' memory.
var (
	enginesMu sync.Mutex
	engines   = map[string]*Engine{}
	// loads is the number of loads that run on all engines.
	loads int
)

// AddEngine starts an engine on a machine of its own, and lets it announce itself.
func (f *Fleet) AddEngine(machine int, p EngineParams) (*Engine, error) {
	e := &Engine{EngineParams: p, address: f.Address(machine, serverPort), fleet: f, born: time.Now(), models: map[string]bool{}, backups: map[string]int{}}
	for _, m := range p.Models {
		e.models[m] = true
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	enginesMu.Lock()
	engines[e.address] = e
	enginesMu.Unlock()
	e.server = f.serve(repeatingListener{l}, e)
	f.record.Note("engine %s of version %s at %s announces itself", p.ID, p.Version, e.address)
	e.announce()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.announce()
			case <-f.ctx.Done():
				return
			}
		}
	}()
	return e, nil
}

// modelList returns the models of an entry or a report. e.mu must be held.
func (e *Engine) modelList() []map[string]any {
	list := []map[string]any{}
	for m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// announce writes the engine's entry.
func (e *Engine) announce() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": "ready",
		"coldLeftMs": 0, "stage": "unified", "models": e.modelList(), "sequence": e.beats, "born": e.born.UnixMilli(),
		"available": map[string]any{"inMemory": e.InMemory, "onDisk": e.InMemory},
	}
	e.mu.Unlock()
	e.fleet.Store.Put("servers", e.ID, entry)
}

// Runs returns copies of all runs.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Run
	for _, r := range e.runs {
		list = append(list, *r)
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Martenport-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Martenport-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Martenport-Instance-Id", e.ID)
	case r.URL.Path == "/v1/report":
		e.report(w)
	case r.URL.Path == "/v1/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		e.mu.Lock()
		delete(e.backups, strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		e.mu.Unlock()
	default:
		e.stream(w, r)
	}
}

// report answers with the state of the engine as of ReportLag ago.
func (e *Engine) report(w http.ResponseWriter) {
	asOf := time.Now().Add(-e.ReportLag)
	e.mu.Lock()
	list := [][]any{}
	for _, r := range e.runs {
		if !r.Began.After(asOf) && (r.Ended.IsZero() || r.Ended.After(asOf)) {
			list = append(list, []any{r.Request, 400, r.Events, 5})
		}
	}
	answer := map[string]any{
		"stage": "unified", "models": e.modelList(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": len(list),
		"kvUsed": 1000 * len(list), "kvTotal": 156843, "handles": 0, "state": "ready", "next": 0, "runs": list, "born": e.born.UnixMilli(),
		"available": map[string]any{"inMemory": e.InMemory, "onDisk": e.InMemory},
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

// defaultLoadTime is how long a load from memory takes.
const defaultLoadTime = 380 * time.Millisecond

// beginLoad counts a load and returns how long it takes.
func (e *Engine) beginLoad() time.Duration {
	enginesMu.Lock()
	defer enginesMu.Unlock()
	loads++
	return time.Duration(float64(cmp.Or(e.LoadTime, defaultLoadTime)) * (1 + e.SlowerBy*float64(loads-1)))
}

func endLoad() {
	enginesMu.Lock()
	defer enginesMu.Unlock()
	loads--
}

// order carries an order out.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter string
		Expect             *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Op == "model_load"
	switch {
	case e.models[o.Model] == load:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy, o.Expect != nil && *o.Expect != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	if !load {
		e.unload(o.Model)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	e.busy, e.loading = true, o.Model
	took := e.beginLoad()
	e.fleet.record.Note("engine %s loads %s in %v", e.ID, o.Model, took)
	time.AfterFunc(took, func() {
		endLoad()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.loading = false, ""
		e.models[o.Model] = true
	})
	w.WriteHeader(http.StatusAccepted)
}

// unload drops a model. Its runs have to end first. e.mu must be held.
func (e *Engine) unload(model string) {
	e.busy = true
	go func() {
		for {
			e.mu.Lock()
			active := slices.ContainsFunc(e.runs, func(r *Run) bool { return r.model == model && r.Ended.IsZero() })
			if !active {
				delete(e.models, model)
				e.busy = false
				e.mu.Unlock()
				return
			}
			e.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

func notExecuted(w http.ResponseWriter) {
	w.Header().Set("Martenport-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin registers a run, and reports whether the engine takes it.
func (e *Engine) begin(w http.ResponseWriter, r *http.Request) (*Run, bool) {
	id := r.Header.Get("Martenport-Attempt-Id")
	model, _, _ := strings.Cut(r.Header.Get("Martenport-Model"), "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == model {
		e.reject(w, r, id)
		return nil, false
	}
	if !e.models[model] {
		w.Header().Set("Martenport-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	active := 0
	for _, run := range e.runs {
		if run.Ended.IsZero() {
			active++
		}
	}
	if active >= e.Slots {
		notExecuted(w)
		return nil, false
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		if _, kept := e.backups[id]; !kept || from != e.address+"/"+id {
			notExecuted(w)
			return nil, false
		}
		delete(e.backups, id)
	}
	run := &Run{Request: id, Server: e.ID, Began: time.Now(), model: model}
	e.runs = append(e.runs, run)
	return run, true
}

// reject turns a request away that an order in progress concerns. e.mu must be held.
func (e *Engine) reject(w http.ResponseWriter, r *http.Request, id string) {
	e.rejected++
	e.fleet.record.Note("engine %s turns %s away, its model is being loaded", e.ID, id)
	w.Header().Set("Martenport-Attempt-Id", id)
	if c, ok := r.Context().Value(connKey{}).(*repeatingConn); ok && e.Repeat != nil && e.Repeat(id) {
		e.repeated++
		e.fleet.record.Note("engine %s will give its answer to %s once more on this channel, late", e.ID, id)
		c.repeat("HTTP/1.1 503 Service Unavailable\r\nMartenport-Attempt-Id: " + id + "\r\nMartenport-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	notExecuted(w)
}

// Rejected returns the number of requests that were turned away, and of answers that were given twice.
func (e *Engine) Rejected() (rejected, repeated int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejected, e.repeated
}

// stream runs a request and answers with a stream of events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Martenport-Attempt-Id")
	if id == "" {
		w.Header().Set("Martenport-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run, taken := e.begin(w, r)
	if !taken {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	budget, _ := strconv.Atoi(r.Header.Get("Martenport-Deadline-Ms"))
	e.fleet.record.Note("engine %s (version %s) runs %s from event %d, backup at %q, from %q", e.ID, e.Version, id, last+1, r.Header.Get("Martenport-Kv-Backup"), r.Header.Get("Kv-From"))
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Martenport-Attempt-Id", id)
	h.Set("Martenport-Server-Seal", "seal."+e.ID+"."+id)
	h.Set("Martenport-Weight-Versions", "1")
	deadline := run.Began.Add(time.Duration(budget) * time.Millisecond)
	lastBackup := time.Time{}
	select {
	case <-time.After(e.FirstEvent):
	case <-r.Context().Done():
		e.end(run, "its channel is closed")
		return
	}
	if e.Poison != nil && e.Poison(string(body)) {
		e.crash(run)
		panic(http.ErrAbortHandler)
	}
	for n := last + 1; n <= e.Events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, id, e.Version, n); err != nil {
			e.end(run, "its channel is closed")
			return
		}
		_ = http.NewResponseController(w).Flush()
		e.mu.Lock()
		run.Events++
		e.mu.Unlock()
		if time.Since(lastBackup) >= backupInterval {
			lastBackup = time.Now()
			e.backUp(r.Header.Get("Martenport-Kv-Backup"), id, n)
		}
		next := time.Now().Add(e.Pace)
		if budget > 0 && next.After(deadline) {
			e.end(run, "its time budget is over")
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(time.Until(next)):
		case <-r.Context().Done():
			e.end(run, "its channel is closed")
			return
		}
	}
	e.backUp(r.Header.Get("Martenport-Kv-Backup"), id, -1)
	e.end(run, "complete")
}

// crash ends the engine's process under a run. It is back after DownTime.
func (e *Engine) crash(run *Run) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.crashes++
	e.models, e.sequence, e.busy, e.loading = map[string]bool{}, 0, false, ""
	clear(e.backups)
	var ended []string
	for _, r := range e.runs {
		if r.Ended.IsZero() {
			r.Ended = time.Now()
			ended = append(ended, r.Request)
		}
	}
	server := e.server
	e.mu.Unlock()
	e.fleet.record.Note("engine %s crashes under %s; it ran %v", e.ID, run.Request, ended)
	go func() {
		_ = server.Close()
		time.Sleep(e.DownTime)
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			e.fleet.record.Note("engine %s cannot start again: %v", e.ID, err)
			return
		}
		e.mu.Lock()
		e.down, e.born = false, time.Now()
		e.server = e.fleet.serve(repeatingListener{l}, e)
		e.mu.Unlock()
		e.fleet.record.Note("engine %s is back", e.ID)
		e.announce()
	}()
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// backUp hands an engine a copy of a run's memory, or lets it drop the copy if events is negative.
func (e *Engine) backUp(address, id string, events int) {
	enginesMu.Lock()
	other := engines[address]
	enginesMu.Unlock()
	if other == nil {
		return
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if events < 0 {
		delete(other.backups, id)
		return
	}
	other.backups[id] = events
}

func (e *Engine) end(run *Run, reason string) {
	e.mu.Lock()
	if !run.Ended.IsZero() {
		e.mu.Unlock()
		return // it ended with the engine
	}
	run.Ended = time.Now()
	e.mu.Unlock()
	e.fleet.record.Note("engine %s: run of %s ends: %s", e.ID, run.Request, reason)
}
