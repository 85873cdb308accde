package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/store"
)

// objectMetadata is what the platform keeps of an object beside its spec.
type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Finalizers []string `json:"finalizers"`
}

// storedObject is an object on the wire.
type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type objectList struct {
	Items         []storedObject `json:"items"`
	MorePages     bool           `json:"morePages"`
	StoreRevision int64          `json:"storeRevision"`
}

type objectEvent struct {
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

type objectEvents struct {
	Events        []objectEvent `json:"events"`
	StoreRevision int64         `json:"storeRevision"`
}

// Handler serves the platform over its HTTP protocol. POST /fault?down=true,
// ?delay=1s and ?lose=3 set its faults; ?copy=true keeps a copy, and ?restore=true has it come
// back from that, with what is under each "again" written again.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", p.serveKind)
	mux.HandleFunc("POST /v1/objects/{kind}", p.serveCreate)
	mux.HandleFunc("GET /v1/objects/{kind}/{name...}", p.serveGet)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", p.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name...}", p.serveDelete)
	mux.HandleFunc("POST /fault", p.serveFault)
	return mux
}

func objectKey(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

func encodeObject(obj store.Object) storedObject {
	_, name, _ := strings.Cut(obj.Key, "/")
	return storedObject{Metadata: objectMetadata{Name: name, Revision: obj.Version.Number(), Finalizers: []string{}}, Spec: obj.Value}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := p.Get(r.Context(), objectKey(r))
	p.respond(w, obj.Version, encodeObject(obj), err)
}

// serveKind lists a kind in one page, or waits for its changes.
func (p *Platform) serveKind(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("kind") + "/"
	if r.URL.Query().Has("watch") {
		p.serveWatch(w, r, prefix)
		return
	}
	snap, err := p.List(r.Context(), prefix)
	page := objectList{Items: []storedObject{}, StoreRevision: snap.Revision.Number()}
	for _, obj := range snap.Objects {
		page.Items = append(page.Items, encodeObject(obj))
	}
	p.respond(w, snap.Revision, page, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, prefix string) {
	wait := time.Duration(formInt(r, "waitMs")) * time.Millisecond
	snap, err := p.watch(r.Context(), prefix, p.current(formInt(r, "watch")), wait)
	page := objectEvents{Events: []objectEvent{}, StoreRevision: snap.Revision.Number()}
	for _, obj := range snap.Objects {
		page.Events = append(page.Events, objectEvent{Object: encodeObject(obj), Deleted: obj.Deleted})
	}
	p.respond(w, snap.Revision, page, err)
}

func (p *Platform) serveCreate(w http.ResponseWriter, r *http.Request) { p.write(w, r, true) }

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) { p.write(w, r, false) }

func (p *Platform) write(w http.ResponseWriter, r *http.Request, create bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var obj storedObject
	if err := json.Unmarshal(body, &obj); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key, version := objectKey(r), p.current(obj.Metadata.Revision)
	if create {
		key, version = r.PathValue("kind")+"/"+obj.Metadata.Name, 0
	}
	stored, err := p.Put(r.Context(), key, obj.Spec, version)
	p.respond(w, stored.Version, encodeObject(stored), err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	err := p.Delete(r.Context(), objectKey(r), p.current(formInt(r, "revision")))
	p.respond(w, 0, storedObject{Spec: json.RawMessage("null")}, err)
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
	if query.Get("copy") == "true" {
		copied := p.Copy()
		p.mu.Lock()
		p.copied = copied
		p.mu.Unlock()
	}
	if query.Get("restore") == "true" {
		p.mu.Lock()
		copied := p.copied
		p.mu.Unlock()
		p.Restore(copied, query["again"]...)
	}
	w.WriteHeader(http.StatusNoContent)
}

func formInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// current returns the revision that a call means by a number; 0 is that of no object.
func (p *Platform) current(number int64) store.Revision {
	if number == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return store.RevisionOf(p.revision.Era(), number)
}

// eraHeader has the platform's era, in all answers.
const eraHeader = "Store-Era"

// respond answers as of a revision, 0 if what is answered has none.
func (p *Platform) respond(w http.ResponseWriter, as store.Revision, v any, err error) {
	if as == 0 || err != nil {
		p.mu.Lock()
		as = p.revision
		p.mu.Unlock()
	}
	w.Header().Set(eraHeader, strconv.FormatInt(as.Era(), 10))
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // the answer is lost
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
