package standin

import (
	"net/http"
	"time"
)

// HoldReports makes the server break off calls for its report until the next request begins, as if they were not answered
// in time.
func (s *Server) HoldReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsHeld = true
}

// awaitReport breaks the call off while reports are held.
func (s *Server) awaitReport() {
	s.mu.Lock()
	held := s.reportsHeld
	s.mu.Unlock()
	if held {
		panic(http.ErrAbortHandler)
	}
}

// start returns the start time that a server announces which starts now.
func (p *ServerParams) start() int64 {
	if p.OmitStart {
		return 0
	}
	return time.Now().UnixMilli()
}
