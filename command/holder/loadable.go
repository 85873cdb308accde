package holder

import "time"

// Loadable returns engines of a service that could load a model from their memory or disk. It fails with ErrNotHolder
// if this instance does not hold the lease.
func (h *Holder) Loadable(service, model string, now time.Time) ([]string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return nil, ErrNotHolder
	}
	return h.fleet.Loadable(service, model, now), nil
}
