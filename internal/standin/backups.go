package standin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// PathBackup is the path at which a Server receives the backup of a run on another Server, with the
// run's attempt ID and the number of events made so far, or with 0 events once the run is complete.
const PathBackup = "/standin/backup"

const (
	pathHandles   = "/v1/kv-handle/"
	backupTimeout = 200 * time.Millisecond
)

// serveBackup receives the backup of a run, or its end.
func (s *Server) serveBackup(r *http.Request) {
	id := r.URL.Query().Get("id")
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if events == 0 {
		delete(s.backups, id)
		return
	}
	s.backups[id] = events
}

// sendBackup sends the backup of a run to another server. A server that cannot be reached gets none.
func (s *Server) sendBackup(address, id string, events int) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), backupTimeout)
	defer cancel()
	query := url.Values{"id": {id}, "events": {strconv.Itoa(events)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathBackup+"?"+query, nil)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// freeBackup drops a backup.
func (s *Server) freeBackup(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, kept := s.backups[id]; !kept {
		w.WriteHeader(http.StatusNotFound)
	}
	delete(s.backups, id)
}

// takeBackup takes the backup that a request goes on from, and reports whether there is one. A backup
// can be used once. s.mu must be held.
func (s *Server) takeBackup(from, id string) bool {
	address, handle, _ := strings.Cut(from, "/")
	_, kept := s.backups[handle]
	switch {
	case handle != id:
		s.violations = append(s.violations, "request "+id+" is to go on from the memory of "+handle)
		return false
	case address != s.address || !kept:
		return false
	}
	delete(s.backups, handle)
	return true
}

// Backups returns the number of backups that the server keeps.
func (s *Server) Backups() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.backups)
}

// Active returns the number of streams that the server works on.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// setActive records that the server works on a stream, with the number of events made, or that it
// does not any more if that is negative.
func (s *Server) setActive(id string, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if events < 0 {
		delete(s.active, id)
		return
	}
	s.active[id] = events
}

// activeRuns returns the list of runs of a report. s.mu must be held.
func (s *Server) activeRuns() [][]any {
	runs := [][]any{}
	for id, events := range s.active {
		runs = append(runs, []any{id, events, events, 0})
	}
	return runs
}
