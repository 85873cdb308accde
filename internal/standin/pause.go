package standin

import (
	"sync"
	"time"
)

// pauseState is until when a Server is silent.
type pauseState struct {
	mu    sync.Mutex
	until time.Time // guarded by mu
}

// Pause makes the server silent for d: it begins no request, and sends no event of a stream. Then it goes on.
func (s *Server) Pause(d time.Duration) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.until = time.Now().Add(d)
}

// wait returns when the server is not silent.
func (p *pauseState) wait() {
	for {
		p.mu.Lock()
		left := time.Until(p.until)
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
