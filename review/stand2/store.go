package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the stand-in store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision,omitempty"`
	Finalizers []string `json:"finalizers"`
}

// change is one entry of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// outage is how the store treats calls.
type outage int

const (
	// serving: calls are carried out.
	serving outage = iota
	// busy: calls are answered 503, and nothing is done.
	busy
	// silent: calls are not carried out and get no answer.
	silent
)

// objectStore is a stand-in for the platform's store, as PROTOCOL.md describes it.
type objectStore struct {
	log *record
	// latency is the time that each call takes; set before the first one.
	latency time.Duration

	mu      sync.Mutex
	objects map[string]map[string]object
	history []change
	// revision is the last one given out; the history begins after oldest.
	revision, oldest, era int64
	state                 outage
	// deafFrom is the revision from which watches hear nothing while deaf is set.
	deaf     bool
	deafFrom int64
	// changed is closed at each change of anything above.
	changed chan struct{}
	// watchBegan is when each of the waiting watches of the configuration began.
	watchBegan map[*http.Request]time.Time
}

func newStore(log *record) *objectStore {
	return &objectStore{log: log, objects: map[string]map[string]object{}, changed: make(chan struct{}), watchBegan: map[*http.Request]time.Time{}}
}

// notify wakes the calls that wait. s.mu must be held.
func (s *objectStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setState sets how calls are treated.
func (s *objectStore) setState(o outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = o
	s.notify()
}

// beginDeaf makes watches hear nothing of what changes from now on.
func (s *objectStore) beginDeaf() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.deafFrom = true, s.revision
}

// compact ends beginDeaf: it drops the history and cuts the watches that wait.
func (s *objectStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.history, s.oldest = false, nil, s.revision
	s.notify()
}

// backup is a copy of the store.
type backup struct {
	objects  map[string]map[string]object
	revision int64
}

func (s *objectStore) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{objects: map[string]map[string]object{}, revision: s.revision}
	for kind, objects := range s.objects {
		b.objects[kind] = map[string]object{}
		for name, o := range objects {
			b.objects[kind][name] = o
		}
	}
	return b
}

// restore brings the store back from a copy: revisions go back, and its era rises by one.
func (s *objectStore) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.oldest, s.history = b.objects, b.revision, b.revision, nil
	s.era++
	s.notify()
}

// put writes an object as the operator or a server does, whatever its revision, and returns its new revision.
func (s *objectStore) put(kind, name string, value any) int64 {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are plain maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, spec, []string{}).Metadata.Revision
}

// spec returns the value of an object, nil if there is none.
func (s *objectStore) spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// expire removes the entry of a server that has not been heard of.
func (s *objectStore) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop("servers", id)
}

func (s *objectStore) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	known, found := s.objects[kind][name]
	if found && bytes.Equal(known.Spec, spec) {
		return known // a write that changes nothing creates no revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Finalizers: finalizers}, Spec: spec, Status: known.Status}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind: kind, object: o})
	s.notify()
	return o
}

func (s *objectStore) drop(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind: kind, object: o, deleted: true})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.latency)
	if !s.admit(r.Context(), w) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.serveWatch(w, r, kind)
		return
	}
	s.mu.Lock()
	status, answer := s.call(r, kind, name, body)
	era := s.era
	s.mu.Unlock()
	reply(w, era, status, answer)
}

// admit reports whether a call may be carried out now.
func (s *objectStore) admit(ctx context.Context, w http.ResponseWriter) bool {
	s.mu.Lock()
	state, era := s.state, s.era
	s.mu.Unlock()
	switch state {
	case busy:
		reply(w, era, http.StatusServiceUnavailable, nil)
		return false
	case silent:
		<-ctx.Done()
		return false
	}
	return true
}

func reply(w http.ResponseWriter, era int64, status int, answer any) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer) // the caller may have left
	}
}

// call carries out a call other than a watch. s.mu must be held.
func (s *objectStore) call(r *http.Request, kind, name string, body []byte) (status int, answer any) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	known, found := s.objects[kind][name]
	expected := sent.Metadata.Revision
	if r.Method == http.MethodDelete {
		expected, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, map[string]any{"items": s.list(kind), "morePages": false, "storeRevision": s.revision}
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, known
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, name, sent.Spec, sent.Metadata.Finalizers)
	case !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, known
	case expected != 0 && expected != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		return http.StatusOK, known
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, sent.Spec, sent.Metadata.Finalizers)
	}
	return http.StatusBadRequest, nil
}

// list returns the objects of a kind by name. s.mu must be held.
func (s *objectStore) list(kind string) []object {
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items
}

// serveWatch answers a watch once there is an event, its time is over, or its history is gone.
func (s *objectStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	s.mu.Lock()
	began := s.era
	if kind == "config" {
		s.watchBegan[r] = time.Now()
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchBegan, r)
	}()
	for over := false; ; {
		s.mu.Lock()
		state, era, changed, oldest, revision := s.state, s.era, s.changed, s.oldest, s.revision
		events, heard := s.events(kind, from)
		s.mu.Unlock()
		switch {
		case state == silent:
			<-r.Context().Done()
			return
		case state == busy:
			cut(w)
			return
		case era != began || from < oldest || from > revision:
			reply(w, era, http.StatusGone, nil)
			return
		case len(events) > 0 || over:
			reply(w, era, http.StatusOK, map[string]any{"events": events, "storeRevision": heard})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// events returns what a watch hears, and the revision up to which that is all. s.mu must be held.
func (s *objectStore) events(kind string, from int64) (events []map[string]any, heard int64) {
	events, heard = []map[string]any{}, s.revision
	if s.deaf {
		heard = max(from, s.deafFrom)
	}
	for _, c := range s.history {
		if revision := c.object.Metadata.Revision; c.kind == kind && revision > from && revision <= heard {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, heard
}

// cut resets the channel of a call.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// configWatches returns for how long the watches of the configuration have been waiting.
func (s *objectStore) configWatches() (ages []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, began := range s.watchBegan {
		ages = append(ages, time.Since(began))
	}
	return ages
}
