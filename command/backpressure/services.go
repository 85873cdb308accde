package backpressure

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// brittleService is a service of which servers state that they are brittle.
type brittleService struct {
	// tolerated are the rejections in a second that the servers tolerate which last stated that, by server ID.
	tolerated map[string]int
	// statedAt is when the last such statement was read.
	statedAt time.Time
}

// brittleWordLifetime is how long a server counts as not brittle after an answer that does not state it, if other servers
// of its service have stated it since.
const brittleWordLifetime = 2 * time.Second

// Brittle returns how many requests in a second a server can reject for lack of room; brittle is false if it does not
// state that it ends if it has to reject more. A server that has not answered yet, or not for a while, is taken to be like
// the others of its service, since it could end under the first requests.
func (l *Ledger) Brittle(s serving.Server) (tolerated int, brittle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	answered := e != nil && e.known && s.MayBeSameProcess(e.limit.Born)
	if answered && e.limit.Brittle {
		return e.limit.Tolerated, true
	}
	service := l.brittleServices[s.Service]
	if service == nil || answered && service.statedAt.Sub(e.limit.ReadAt) < brittleWordLifetime {
		return 0, false
	}
	return service.least(), true
}

// least returns the smallest number of rejections that a server of the service tolerates.
func (s *brittleService) least() int {
	least, found := 0, false
	for _, n := range s.tolerated {
		if !found || n < least {
			least, found = n, true
		}
	}
	return least
}

// recordBrittle records the last statement of a server for its service. l.mu must be held.
func (l *Ledger) recordBrittle(limit Limit) {
	service := l.brittleServices[limit.Service]
	switch {
	case limit.Service == "":
	case limit.Brittle:
		if service == nil {
			service = &brittleService{tolerated: map[string]int{}}
			l.brittleServices[limit.Service] = service
		}
		service.tolerated[limit.Server] = limit.Tolerated
		if limit.ReadAt.After(service.statedAt) {
			service.statedAt = limit.ReadAt
		}
	case service != nil:
		delete(service.tolerated, limit.Server)
		if len(service.tolerated) == 0 {
			delete(l.brittleServices, limit.Service)
		}
	}
}
