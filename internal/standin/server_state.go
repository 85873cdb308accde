package standin

// PathState is the path that returns a Server's State.
const PathState = "/standin/state"

// State is what a Server has recorded.
type State struct {
	Service    string
	Orders     []ReceivedOrder
	Runs       map[string]int
	Violations []string
	// EndedBy is the body of the request that crashed the server, or the ID of the part of its prompt that did, or "".
	EndedBy string
	// EndedByRejections is set if the server ended because it had to reject too many requests.
	EndedByRejections bool
	// Arrivals are the latest attempts, and Forgotten is the number of older ones dropped.
	Arrivals  []Arrival
	Forgotten int
}

// State returns what the server has recorded so far.
func (s *Server) State() State {
	arrived, forgotten := s.arrivals.all()
	s.mu.Lock()
	endedBy, endedByRejections := s.endedBy, s.endedByRejections
	s.mu.Unlock()
	return State{
		EndedBy: endedBy, EndedByRejections: endedByRejections, Service: s.params.Service, Orders: s.Orders(), Runs: s.Runs(), Violations: s.Violations(), Arrivals: arrived, Forgotten: forgotten,
	}
}
