package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/platform"
)

// Handler serves the platform over HTTP. POST /fault?down=true, ?delay=1s and
// ?lose=3 set its faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/object", p.serveGet)
	mux.HandleFunc("PUT /v1/object", p.servePut)
	mux.HandleFunc("DELETE /v1/object", p.serveDelete)
	mux.HandleFunc("GET /v1/list", p.serveList)
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.HandleFunc("POST /fault", p.serveFault)
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := p.Get(r.Context(), r.FormValue("key"))
	answerPlatform(w, obj, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	obj, err := p.Put(r.Context(), r.URL.Query().Get("key"), value, formInt(r, "version"))
	answerPlatform(w, obj, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	err := p.Delete(r.Context(), r.URL.Query().Get("key"), formInt(r, "version"))
	answerPlatform(w, platform.Object{}, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	snap, err := p.List(r.Context(), r.FormValue("prefix"))
	answerPlatform(w, snap, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	snap, err := p.Watch(r.Context(), r.FormValue("prefix"), formInt(r, "revision"))
	answerPlatform(w, snap, err)
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("down") {
		p.SetDown(query.Get("down") == "true")
	}
	if delay, err := time.ParseDuration(query.Get("delay")); err == nil {
		p.SetDelay(delay)
	}
	if query.Has("lose") {
		p.LoseAnswers(int(formInt(r, "lose")))
	}
	w.WriteHeader(http.StatusNoContent)
}

func formInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func answerPlatform(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // the answer is lost
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
