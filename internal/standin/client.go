package standin

import (
	"net/http"
	"strconv"
	"time"
)

// PathReady is where the platform's balancer asks an entry instance whether it is
// ready.
const PathReady = "/v1/readyz"

// ClientHeader returns the headers of a client's try: its id, the time that it
// allows (none if 0) and the model that it needs (none if empty).
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

// KeyHeader is the header in which a client's request bears its key.
const KeyHeader = "X-Api-Key"
