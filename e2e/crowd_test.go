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

	"github.com/martenport/martenport/internal/procstat"
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
	fds, err := procstat.OpenDescriptors(p.cmd.Process.Pid)
	if err != nil {
		c.t.Fatal(err)
	}
	peak := p.peakMemoryKB()
	c.t.Logf("%s: %d KB of memory at most, %d descriptors", when, peak, fds)
	if peak > crowdMemoryMB<<10 {
		c.t.Errorf("%s: the process had %d KB of memory, its limit is %d KB", when, peak, crowdMemoryMB<<10)
	}
	if fds > crowdFDs {
		c.t.Errorf("%s: the process has %d descriptors, its limit is %d", when, fds, crowdFDs)
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

// checkPromises checks that no request has run that was answered as not run.
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
