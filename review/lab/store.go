// Package lab has the stand-ins that the cases of the review use: the platform's metadata store,
// backend servers, requesters, and the start and end of entry instances as separate processes on
// loopback addresses.
package lab

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store. It answers linearizably, loses nothing and
// keeps its whole history.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// record adds an event and wakes all watches. s.mu must be held.
func (s *Store) record(kind string, o object, deleted bool) {
	s.history = append(s.history, event{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object as the operator or a server does, whatever its revision.
func (s *Store) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a mistake in this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, value)
}

// put writes an object. s.mu must be held.
func (s *Store) put(kind, name string, value json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(value) {
		return o // a write that changes nothing does not increase the revision
	}
	s.revision++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision, o.Spec = s.revision, value
	s.record(kind, *o, false)
	return o
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// remove removes an object. s.mu must be held.
func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.record(kind, gone, true)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "0")
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a mistake in this program
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "storeRevision": revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	var found object
	if o != nil {
		found = *o
	}
	s.mu.Unlock()
	if o == nil {
		reply(w, http.StatusNotFound, map[string]any{"error": "none"})
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change carries out a write of an instance.
func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	expected := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil:
		reply(w, http.StatusConflict, *current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, *s.put(kind, name, in.Spec))
	case current == nil:
		reply(w, http.StatusNotFound, map[string]any{"error": "none"})
	case expected != 0 && expected != current.Metadata.Revision:
		reply(w, http.StatusConflict, *current)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, *s.put(kind, name, in.Spec))
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, *current)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
