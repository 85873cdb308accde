package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/tunnel"
)

// TestInvalidHeadOpensTunnel guards against heads that are not valid HTTP, from whatever listens at the address of an instance, and
// that open a tunnel or state that a server is down.
func TestInvalidHeadOpensTunnel(t *testing.T) {
	for _, fault := range standin.HeadFaults {
		if fault.Length != "" || fault.Encoding != "" {
			fault.Field = fault.Length + fault.Encoding + ": 0" // nothing frames a tunnel
		}
		t.Run(fault.Name, func(t *testing.T) {
			for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
				dial := func(context.Context, string, string) (net.Conn, error) {
					own, other := net.Pipe()
					go func() {
						defer other.Close()
						if _, err := http.ReadRequest(bufio.NewReader(other)); err == nil {
							_, _ = io.WriteString(other, fault.Answer(status, "Tunnel-Failure: down\r\n", ""))
						}
					}()
					return own, nil
				}
				instances := func(context.Context) []tunnel.Instance { return []tunnel.Instance{{Name: "a", Address: "a"}} }
				conn, err := tunnel.NewClient("", dial, instances).Dial(t.Context(), serving.Server{ID: "e1", Address: "127.0.0.1:1"})
				if !errors.Is(err, tunnel.ErrNoInstance) {
					t.Errorf("status %d: %v, %v, want that no instance provides a tunnel", status, conn, err)
				}
			}
		})
	}
}
