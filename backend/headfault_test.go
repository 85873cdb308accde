package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/verdict"
)

// headFaultServer answers each request with a fault of the head, and closes the connection.
func headFaultServer(t *testing.T, fault standin.HeadFault, status int, body string) *backend.HTTP {
	url := rawServer(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, fault.Answer(status, "X-First: x\r\n", body))
	})
	return backend.NewHTTP(url, &http.Client{Transport: backend.NewTransport()}, "")
}

// TestInvalidHeadIsTakenForAnswer guards against responses whose heads are not valid HTTP and that are taken for answers, or state
// that an order or a request was not carried out.
func TestInvalidHeadIsTakenForAnswer(t *testing.T) {
	for _, fault := range standin.HeadFaults {
		t.Run(fault.Name, func(t *testing.T) {
			for _, status := range []int{200, 400, 409, 412, 421, 503} {
				h := headFaultServer(t, fault, status, `{"attempt":"mine","sequence":0,"not_run":true}`)
				orders := map[string]func() error{
					"fence":  func() error { _, err := h.Fence(t.Context(), 1); return err },
					"load":   func() error { _, err := h.Load(t.Context(), backend.Order{}); return err },
					"unload": func() error { _, err := h.Unload(t.Context(), backend.Order{}); return err },
					"role":   func() error { _, err := h.SetRole(t.Context(), backend.Order{}); return err },
					"report": func() error { _, err := h.Report(t.Context(), 0); return err },
					"cancel": func() error { return h.Cancel(t.Context(), "mine") },
				}
				for name, do := range orders {
					if err := do(); !errors.Is(err, backend.ErrUnknown) {
						t.Errorf("status %d: %s: %v, want that the outcome is not known", status, name, err)
					}
				}
				requests := map[string]func() error{
					"call":     func() error { _, err := h.Call(t.Context(), backend.Call{}); return err },
					"generate": func() error { _, err := readAll(t.Context(), h); return err },
				}
				for name, do := range requests {
					if f := verdict.FromError(do()); f == nil || f.Verdict != verdict.MayHaveRun || f.Reason != verdict.ReasonBackend {
						t.Errorf("status %d: %s: %v, want that it may have run", status, name, f)
					}
				}
			}
		})
	}
}
