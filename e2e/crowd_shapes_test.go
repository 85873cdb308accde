//go:build crowd

package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestCrowdOfWholeBodies guards against many large bodies of legal size that arrive at once.
func TestCrowdOfWholeBodies(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], sized("safe", largestBody, largestBody, 0))
	c.check()
}

// TestCrowdOfWholeBodiesForStalledServer guards against many large bodies that are kept since their server does not answer.
func TestCrowdOfWholeBodiesForStalledServer(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], sized(stalledService, largestBody, largestBody, 0))
	c.check()
}

// TestCrowdOfUnfinishedBodies guards against many large bodies whose last byte does not come.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], sized("safe", largestBody, largestBody, 1))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfUnfinishedPiecewiseBodies guards against the same, piece by piece.
func TestCrowdOfUnfinishedPiecewiseBodies(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], sized("safe", largestBody, 1<<10, 1))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfUnfinishedLargeChunks guards against many large bodies in large chunks whose last one does not come.
func TestCrowdOfUnfinishedLargeChunks(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], chunked(largestBody, 64<<10))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfUnfinishedSmallChunks guards against many large bodies in small chunks whose last one does not come.
func TestCrowdOfUnfinishedSmallChunks(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], chunked(largestBody, 16))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfChunksOfOneByte guards against the same with the smallest chunks.
func TestCrowdOfChunksOfOneByte(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], chunked(largestBody, 1))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfAnnouncedOversizedBodies guards against many bodies that are far over the limit according to their lengths.
func TestCrowdOfAnnouncedOversizedBodies(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], sized("safe", 64*largestBody, 64<<10, 60*largestBody))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfOversizedBodies guards against many bodies that turn out to be far over the limit.
func TestCrowdOfOversizedBodies(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], chunked(4*largestBody, 64<<10))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfStalledConnections guards against small bodies whose last bytes do not come, which take all connections.
func TestCrowdOfStalledConnections(t *testing.T) {
	c := newCrowd(t)
	c.join(maxConns, c.instances[0], sized("safe", 1000, 1000, 1))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfSlowConnections guards against small bodies that take all connections since they come byte by byte.
func TestCrowdOfSlowConnections(t *testing.T) {
	c := newCrowd(t)
	c.join(maxConns, c.instances[0], trickled(4000, 500*time.Millisecond))
	c.check()
	c.checkNoneRan()
}

// TestCrowdOfManyHeaders guards against many heads that consist of many small headers and do not end.
func TestCrowdOfManyHeaders(t *testing.T) {
	c := newCrowd(t)
	c.join(crowdSize, c.instances[0], manyHeaders(60<<10))
	c.check()
	c.checkNoneRan()
}

// TestCrowdAtOtherPorts guards against many long heads without end at the ports that clients have no business with: those
// for the platform's questions and tunnels, and of the metrics.
func TestCrowdAtOtherPorts(t *testing.T) {
	for _, port := range []string{"8101", "9464", "7381"} {
		t.Run(port, func(t *testing.T) {
			c := newCrowd(t)
			c.join(crowdSize, c.address(port), longHeader(900<<10))
			c.check()
		})
	}
}

// TestCrowdOfConnectionsAtOtherPorts guards against connections to such ports that take all descriptors.
func TestCrowdOfConnectionsAtOtherPorts(t *testing.T) {
	for _, port := range []string{"8101", "9464", "7381", "7380"} {
		t.Run(port, func(t *testing.T) {
			c := newCrowd(t)
			c.join(crowdFDs, c.address(port), func(conn net.Conn, _ string) error {
				_, err := io.WriteString(conn, "G")
				return err
			})
			c.check()
		})
	}
}

// TestCrowdOfBodiesAtOperatorsPort guards against many large bodies at the port for operators, of an instance that demands no
// credential.
func TestCrowdOfBodiesAtOperatorsPort(t *testing.T) {
	t.Setenv("MARTENPORT_OPERATORS_PORT", "7390")
	c := newCrowd(t)
	c.join(crowdSize, c.address("7390"), func(conn net.Conn, _ string) error {
		const head = "POST /martenport.v1.OperatorService/GetStatus HTTP/1.1\r\nHost: operators\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
		if _, err := fmt.Fprintf(conn, head, largestBody); err != nil {
			return err
		}
		return repeat(conn, strings.Repeat(" ", 64<<10), largestBody-1)
	})
	c.check()
}

// TestCrowdLeavesRoomForLargestBody checks that a single request of the largest size is served, with its length and in chunks.
func TestCrowdLeavesRoomForLargestBody(t *testing.T) {
	c := newCrowd(t)
	for _, length := range []int64{largestBody, -1} {
		id := fmt.Sprint("largest", length)
		text := strings.Repeat("y", largestBody)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.instances[0]+"/safe/x", io.NopCloser(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Header, req.ContentLength = clientHost, standin.ClientHeader(id, "", 15*time.Second), length
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || string(answer) != "POST /safe/x "+text {
			t.Errorf("length %d: %d, %d bytes, %v", length, resp.StatusCode, len(answer), err)
		}
	}
	c.check()
}
