package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/store"
)

// objectMetadata is the metadata of an object, without its spec.
type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Finalizers []string `json:"finalizers"`
}

// storedObject is the wire format of an object.
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

// Handler returns the HTTP interface of the platform. POST /fault?down=true, ?delay=1s and ?lose=3 set its faults.
// POST /fault?late=1s&prefix=servers/&watcher=127.0.0.1 makes watches late (see DelayWatches); prefix and watcher may be left out.
// POST /fault?copy=true makes a backup, and ?restore=true restores it; objects under each "again" prefix are then
// written again (see Restore).
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

// serveKind lists the objects of a kind in one page, or waits for changes to them.
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
	wait := time.Duration(queryInt(r, "waitMs")) * time.Millisecond
	watcher, _, _ := net.SplitHostPort(r.RemoteAddr)
	snap, err := p.watch(r.Context(), watchRequest{prefix: prefix, revision: p.revisionOf(queryInt(r, "watch")), wait: wait, watcher: watcher})
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
	key, version := objectKey(r), p.revisionOf(obj.Metadata.Revision)
	if create {
		key, version = r.PathValue("kind")+"/"+obj.Metadata.Name, 0
	}
	stored, err := p.Put(r.Context(), key, obj.Spec, version)
	p.respond(w, stored.Version, encodeObject(stored), err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	err := p.Delete(r.Context(), objectKey(r), p.revisionOf(queryInt(r, "revision")))
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
	if delay, err := time.ParseDuration(query.Get("late")); err == nil {
		p.DelayWatches(LateWatches{Prefix: query.Get("prefix"), Watcher: query.Get("watcher"), Delay: delay})
	}
	if query.Has("lose") {
		p.LoseAnswers(int(queryInt(r, "lose")))
	}
	if query.Get("copy") == "true" {
		backup := p.Copy()
		p.mu.Lock()
		p.lastCopy = backup
		p.mu.Unlock()
	}
	if query.Get("restore") == "true" {
		p.mu.Lock()
		backup := p.lastCopy
		p.mu.Unlock()
		p.Restore(backup, query["again"]...)
	}
	w.WriteHeader(http.StatusNoContent)
}

func queryInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// revisionOf returns the revision with the given number in the current era, or 0 (no object) for number 0.
func (p *Platform) revisionOf(number int64) store.Revision {
	if number == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return store.RevisionOf(p.revision.Era(), number)
}

// eraHeader is the header of all answers that carries the platform's era.
const eraHeader = "Store-Era"

// respond writes an answer. Its era is that of the given revision, or the current one if the revision is 0 or the
// call failed.
func (p *Platform) respond(w http.ResponseWriter, revision store.Revision, v any, err error) {
	if revision == 0 || err != nil {
		p.mu.Lock()
		revision = p.revision
		p.mu.Unlock()
	}
	w.Header().Set(eraHeader, strconv.FormatInt(revision.Era(), 10))
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, store.ErrRefused):
		http.Error(w, err.Error(), http.StatusForbidden)
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
