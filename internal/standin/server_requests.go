package standin

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"time"
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Martenport-Attempt-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("Martenport-Model"), "/")
	w.Header().Set("Martenport-Attempt-Id", id)
	s.mu.Lock()
	adapters, resident := s.loaded[model]
	missing := model != "" && (!resident || adapter != "" && !adapters[adapter])
	from := r.Header.Get("Kv-From")
	lacksBackup := !missing && from != "" && !s.takeBackup(from, id)
	if !missing && id != "" && from == "" {
		s.runs[id]++          // one that goes on from a backup is the same run
		s.reportsHeld = false // see HoldReports
	}
	cut := s.streamsToCut > 0 && model != ""
	if cut && !missing {
		s.streamsToCut--
	}
	s.mu.Unlock()
	switch {
	case id == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case missing:
		w.Header().Set("Martenport-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case lacksBackup:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Martenport-Server-Seal", s.Seal())
	if content := requestContent(r, body); s.params.PoisonPrefix != "" && strings.HasPrefix(content, s.params.PoisonPrefix) {
		s.crash(w, content)
	}
	if part := s.poisonPart(r); part != "" {
		s.crash(w, part)
	}
	if s.arrivals.isFailing() {
		time.Sleep(s.params.Work)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if model != "" {
		s.stream(w, r, cut)
		return
	}
	s.answer(w, fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body))
}

// countRun records that a request runs.
func (s *Server) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// answer writes the answer to a plain request; an unframed one in two parts, before and after the work.
func (s *Server) answer(w http.ResponseWriter, text string) {
	if s.params.Unframed {
		_, _ = io.WriteString(w, text[:len(text)/2])
		text = text[len(text)/2:]
	}
	time.Sleep(s.params.Work)
	_, _ = io.WriteString(w, text)
}

// requestContent returns what a request is about: its body, or the last segment of its path if it has none.
func requestContent(r *http.Request, body []byte) string {
	if len(body) > 0 {
		return string(body)
	}
	return path.Base(r.URL.Path)
}

// poisonPart returns the ID of the part of the request's prompt that crashes the server, or "".
func (s *Server) poisonPart(r *http.Request) string {
	parts := strings.Split(r.Header.Get("Martenport-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if s.params.PoisonPart != "" && strings.HasPrefix(id, s.params.PoisonPart) {
			return id
		}
	}
	return ""
}

// crash ends the server because of a request with the given body, or a part of a prompt with the given ID.
func (s *Server) crash(w http.ResponseWriter, cause string) {
	if s.params.OmitSeal {
		w.Header().Del("Martenport-Server-Seal")
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(poisonDelay)
	s.mu.Lock()
	if s.endedBy == "" {
		s.endedBy = cause
	}
	s.mu.Unlock()
	time.AfterFunc(s.params.CrashDelay, s.Stop)
	panic(http.ErrAbortHandler)
}

// poisonDelay is how long a server runs a poison request before it crashes.
const poisonDelay = 20 * time.Millisecond

// StreamEvents is the number of events in each stream.
const StreamEvents = 10

func (s *Server) stream(w http.ResponseWriter, r *http.Request, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	form := streamFormOf(r.URL.Query())
	from := form.number(r.Header.Get("Last-Event-Id"))
	data := strings.TrimSuffix(r.Header.Get("Martenport-Model")+" "+s.params.Version, " ")
	id, backup := r.Header.Get("Martenport-Attempt-Id"), r.Header.Get("Martenport-Kv-Backup")
	other := strings.Replace(s.mark(form, data, 0), "@", "@other-", 1)
	data = s.mark(form, data, from)
	if r.Header.Get("Kv-From") != "" && form.wrong == WrongEarly {
		other = data // what goes on from memory is the same run
	}
	items := form.sequence(from, data, other)
	if fault, found := s.garbage.take(GarbageInStream...); found {
		items = fault.Kind.insert(items, fault.Place, from)
	}
	form.setLength(w, items)
	defer s.setActive(id, -1)
	for _, item := range items {
		i := item.number
		if cut && i == from+3 {
			if s.params.CloseWithinEvent {
				_, _ = fmt.Fprintf(w, "id: %d\ndata:", i)
			}
			panic(http.ErrAbortHandler)
		}
		s.pause.wait()
		event := form.text(item)
		if item.isPart {
			_, _ = io.WriteString(w, event)
			return
		}
		if !form.sendEvent(w, event, s.params.EventPause) {
			return
		}
		if item.garbage == "" {
			s.setActive(id, i)
			s.sendBackup(backup, id, i)
		}
		select {
		case <-time.After(s.params.EventPause):
		case <-r.Context().Done():
			return
		}
	}
	s.sendBackup(backup, id, 0)
}
