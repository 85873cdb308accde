package standin

import (
	"net/http"
	"strconv"
	"time"
)

// PathReady is the path at which the platform's load balancer checks whether an entry instance is ready.
const PathReady = "/v1/readyz"

// ClientHeader returns the headers of a client's attempt: its ID, its timeout (omitted if 0) and the model that it
// requires (omitted if empty).
func ClientHeader(id, model string, timeout time.Duration) http.Header {
	h := http.Header{}
	h.Set("Martenport-Attempt-Id", id)
	if timeout > 0 {
		h.Set("Martenport-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	if model != "" {
		h.Set("Martenport-Model", model)
	}
	return h
}

// KeyHeader is the header that carries a client's API key.
const KeyHeader = "X-Api-Key"
