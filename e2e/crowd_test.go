//go:build crowd

// Tests of clients that do not behave. Each checks the memory of a process, so that they run apart from all other tests:
//
//	go test -tags crowd -run '^TestCrowd' ./e2e
package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// Limits of the instance, in MiB and descriptors, and the members of a crowd. Of the descriptors 200 are for files, and clients'
// connections may take 0.6 of the others. The bodies of crowdSize members exceed the memory, and maxConns exceeds the connections.
const (
	crowdMemoryMB, crowdFDs = 96, 600
	crowdSize, maxConns     = 192, 500
	largestBody             = 1 << 20 // bytes, the limit of the configuration
	crowdDeadline           = 10 * time.Minute
)

// stalledService is a service whose server does not answer.
const stalledService = "stalled"

// crowd is an instance with limits, and the connections of clients that do not behave.
type crowd struct {
	*entryFleet
	servers []*standin.Server

	mu       sync.Mutex
	conns    []net.Conn     // guarded by mu
	statuses map[string]int // of the answers, by request; guarded by mu
}

// member sends a request on its connection. It returns when there is nothing left to send, or the connection is closed.
type member func(conn net.Conn, id string) error

func newCrowd(t *testing.T) *crowd {
	t.Helper()
	f := newEntryFleetWith(t, func(c *standin.Config) {
		c.PlainServices = append(c.PlainServices, stalledService)
		c.Routes = append(c.Routes, standin.Route{
			Name: stalledService, Host: clientHost, Service: stalledService, Kind: standin.SafeRoute,
			Timeout: crowdDeadline, Objective: 2 * time.Second, Attempts: 1, Public: true,
		})
	})
	f.memoryMB, f.maxFDs = crowdMemoryMB, crowdFDs
	c := &crowd{entryFleet: f, statuses: map[string]int{}}
	c.servers = []*standin.Server{f.announceServer(t.Context(), "plain", plainService), f.announceServer(t.Context(), "engine", engineService), f.announceServer(t.Context(), "stalled", stalledService)}
	c.servers[2].Pause(crowdDeadline)
	t.Cleanup(c.leave)
	f.startEntry()
	return c
}

// join has n members send their requests at once to an address, and waits until all have sent what they have, or were
// refused. Their connections stay open.
func (c *crowd) join(n int, address string, send member) {
	c.t.Helper()
	var members sync.WaitGroup
	for i := range n {
		members.Go(func() {
			conn, err := net.DialTimeout("tcp", address, waitTimeout)
			if err != nil {
				return
			}
			id := fmt.Sprint("crowd-", i)
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.readAnswer(conn, id)
			_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
			if err := send(conn, id); errors.Is(err, os.ErrDeadlineExceeded) {
				c.t.Logf("%s: the instance has not read the request", id)
			}
		})
	}
	members.Wait()
}

// readAnswer records the status of an answer, and reads until the connection is closed.
func (c *crowd) readAnswer(conn net.Conn, id string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.statuses[id] = resp.StatusCode
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, resp.Body)
	_, _ = io.Copy(io.Discard, conn)
}

// leave closes the connections of all members.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// check checks the instance while the crowd is connected and after it has left.
func (c *crowd) check() {
	c.t.Helper()
	c.checkProcess("with the crowd")
	c.checkAnswers("beside")
	c.checkProcess("still with the crowd") // all its connections have been accepted
	c.leave()
	c.checkAnswers("after")
	c.checkProcess("after the crowd")
	c.checkPromises()
}

// checkProcess checks that the process lives within its memory and descriptors.
func (c *crowd) checkProcess(when string) {
	c.t.Helper()
	p := c.entries[0]
	select {
	case err := <-p.exit:
		c.t.Fatalf("%s: the process has ended: %v", when, err)
	default:
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		c.t.Fatal(err)
	}
	peak := p.peakMemoryKB()
	c.t.Logf("%s: %d KB of memory at most, %d descriptors", when, peak, len(fds))
	if peak > crowdMemoryMB<<10 {
		c.t.Errorf("%s: the process had %d KB of memory, its limit is %d KB", when, peak, crowdMemoryMB<<10)
	}
	if len(fds) > crowdFDs {
		c.t.Errorf("%s: the process has %d descriptors, its limit is %d", when, len(fds), crowdFDs)
	}
}

// checkAnswers checks that an ordinary request to each kind of service is answered, whose client tries again when it is refused.
func (c *crowd) checkAnswers(name string) {
	c.t.Helper()
	for _, route := range []string{"safe", "stream"} {
		tries := 0
		await(c.t, "an ordinary request is answered: "+name+" "+route, func() bool {
			tries++
			a := c.send(0, route, fmt.Sprint(name, "-", route, "-", tries))
			return a.whole && a.status == http.StatusOK && a.text == a.want()
		})
	}
}

// checkPromises checks that no request has run that was answered as not run, or that did not arrive whole.
func (c *crowd) checkPromises() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for id, status := range c.statuses {
		counts[status]++
		notRun := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
		for _, s := range c.servers {
			if runs := s.Runs()[id]; runs > 0 && slices.Contains(notRun, status) {
				c.t.Errorf("%s was answered %d and has run", id, status)
			}
		}
	}
	c.t.Logf("statuses of answers to the crowd: %v", counts)
}

// checkNoneRan checks that no request of the crowd has run.
func (c *crowd) checkNoneRan() {
	c.t.Helper()
	for _, s := range c.servers {
		for id := range s.Runs() {
			if strings.HasPrefix(id, "crowd-") {
				c.t.Errorf("%s has run and did not arrive whole", id)
			}
		}
	}
}

// writeHead writes the head of a request without the empty line at its end.
func writeHead(conn io.Writer, route, id string, more ...string) error {
	_, err := fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nMartenport-Attempt-Id: %s\r\nMartenport-Deadline-Ms: %d\r\n%s",
		route, clientHost, id, crowdDeadline.Milliseconds(), strings.Join(append(more, ""), "\r\n"))
	return err
}

// sized sends a body with its length, in pieces, of which the last missing bytes are not sent.
func sized(route string, size, piece, missing int) member {
	return func(conn net.Conn, id string) error {
		if err := writeHead(conn, route, id, fmt.Sprint("Content-Length: ", size), ""); err != nil {
			return err
		}
		return repeat(conn, strings.Repeat("x", piece), size-missing)
	}
}

// chunked sends a body of size bytes in chunks, without the last chunk.
func chunked(size, chunk int) member {
	return func(conn net.Conn, id string) error {
		if err := writeHead(conn, "safe", id, "Transfer-Encoding: chunked", ""); err != nil {
			return err
		}
		text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		w := bufio.NewWriterSize(conn, 4<<10)
		return errors.Join(repeat(w, text, size/chunk*len(text)), w.Flush())
	}
}

// trickled sends all but the last half of a body, and of that half a byte each interval until the connection is closed.
func trickled(size int, interval time.Duration) member {
	return func(conn net.Conn, id string) error {
		err := sized("safe", size, size, size/2)(conn, id)
		if err != nil {
			return err
		}
		go func() {
			for err := error(nil); err == nil; time.Sleep(interval) {
				_, err = io.WriteString(conn, "x")
			}
		}()
		return nil
	}
}

// manyHeaders sends a head without end, of n bytes in lines of a few bytes.
func manyHeaders(n int) member {
	return func(conn net.Conn, id string) error {
		if err := writeHead(conn, "safe", id); err != nil {
			return err
		}
		w := bufio.NewWriterSize(conn, 4<<10)
		for i, sent := 0, 0; sent < n; i++ {
			written, err := fmt.Fprintf(w, "%x:\r\n", i)
			if err != nil {
				return err
			}
			sent += written
		}
		return w.Flush()
	}
}

// longHeader sends a head without end, of one header with n bytes.
func longHeader(n int) member {
	return func(conn net.Conn, _ string) error {
		if _, err := io.WriteString(conn, "GET /v1/readyz HTTP/1.1\r\nX: "); err != nil {
			return err
		}
		return repeat(conn, strings.Repeat("x", 16<<10), n)
	}
}

// repeat writes text again and again, n bytes in all.
func repeat(w io.Writer, text string, n int) error {
	for n > 0 {
		written, err := io.WriteString(w, text[:min(len(text), n)])
		if err != nil {
			return err
		}
		n -= written
	}
	return nil
}

// address returns the address of another port of the instance.
func (c *crowd) address(port string) string {
	host, _, err := net.SplitHostPort(c.instances[0])
	if err != nil {
		c.t.Fatal(err)
	}
	return net.JoinHostPort(host, port)
}

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
