package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/verdict"
)

// maxRequestBytes bounds the size of a request body that an engine or service reads.
const maxRequestBytes = 16 << 20

// Handler returns the HTTP interface of the engine. POST /fault?leaving=true, ?restart=true and ?slowdown=2 set
// its faults; GET /tally returns its counts, and GET /runs the number of runs by prompt.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathFence, e.serveFence)
	mux.HandleFunc("POST "+backend.PathLoad, e.serveLoad)
	mux.HandleFunc("POST "+backend.PathUnload, e.serveUnload)
	mux.HandleFunc("POST "+backend.PathRole, e.serveRole)
	mux.HandleFunc("GET "+backend.PathReport, e.serveReport)
	mux.HandleFunc("POST "+backend.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+backend.PathCancel, e.serveCancel)
	mux.HandleFunc("POST /fault", e.serveFault)
	mux.HandleFunc("GET /tally", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Tally()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	return mux
}

func (e *Engine) permitted(w http.ResponseWriter, r *http.Request) bool {
	if e.params.Credential == "" || r.Header.Get("Authorization") == "Bearer "+e.params.Credential {
		return true
	}
	refuse(w, http.StatusForbidden, backend.Refusal{Error: "credential missing or wrong", NotRun: true})
	return false
}

func (e *Engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !e.permitted(w, r) || !readJSON(w, r, &o) {
		return
	}
	report, err := e.Fence(r.Context(), o.Epoch)
	answerOrder(w, report, err)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !e.permitted(w, r) || !readJSON(w, r, &o) {
		return
	}
	ack, err := e.Load(r.Context(), o)
	answerOrder(w, ack, err)
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !e.permitted(w, r) || !readJSON(w, r, &o) {
		return
	}
	ack, err := e.Unload(r.Context(), o)
	answerOrder(w, ack, err)
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !e.permitted(w, r) || !readJSON(w, r, &o) {
		return
	}
	ack, err := e.SetRole(r.Context(), o)
	answerOrder(w, ack, err)
}

func answerOrder(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, backend.ErrStaleEpoch):
		refuse(w, http.StatusPreconditionFailed, backend.Refusal{Error: err.Error(), NotRun: true})
	default:
		refuse(w, http.StatusConflict, backend.Refusal{Error: err.Error(), NotRun: true})
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	report, err := e.Report(r.Context(), after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var a backend.Attempt
	if !readJSON(w, r, &a) {
		return
	}
	s, err := e.Generate(r.Context(), a)
	if err != nil {
		f := verdict.FromError(err)
		refuse(w, http.StatusConflict, backend.Refusal{Error: f.Detail, NotRun: f.Verdict == verdict.NotRun})
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	_ = control.Flush()
	encoder := json.NewEncoder(w)
	for {
		t, err := s.Next()
		if err != nil {
			panic(http.ErrAbortHandler) // cut the answer off
		}
		if encoder.Encode(t) != nil {
			return
		}
		_ = control.Flush()
		if t.End {
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var a backend.Attempt
	if readJSON(w, r, &a) {
		_ = e.Cancel(r.Context(), a.ID)
	}
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("leaving") {
		e.SetLeaving(query.Get("leaving") == "true")
	}
	if query.Get("restart") == "true" {
		e.Restart()
	}
	if factor, err := strconv.ParseFloat(query.Get("slowdown"), 64); err == nil {
		e.SetSlowdown(factor)
	}
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v)
	if err != nil {
		refuse(w, http.StatusBadRequest, backend.Refusal{Error: err.Error(), NotRun: true})
	}
	return err == nil
}

func refuse(w http.ResponseWriter, status int, body backend.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Service is a stand-in plain service that echoes its calls.
type Service struct {
	Name string
	// Work is the duration of a call.
	Work time.Duration
	runs counter
}

// Runs returns the number of runs by body.
func (s *Service) Runs() map[string]int { return s.runs.snapshot() }

// Handler returns the HTTP interface of the service. GET /runs returns the number of runs by body.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathCall, s.serveCall)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var c backend.Call
	if !readJSON(w, r, &c) {
		return
	}
	s.runs.add(string(c.Body))
	pause.For(r.Context(), s.Work)
	_, _ = w.Write([]byte(s.Name + " " + c.Method + ": " + string(c.Body)))
}
