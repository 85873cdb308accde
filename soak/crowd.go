package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/procstat"
)

// Limits of each entry instance, and the clients of a crowd: their bodies together exceed the memory.
const (
	entryMemoryMB, entryFDs = 96, 800
	crowdSize               = 112
	crowdBodyBytes          = 1 << 20 // the limit of the configuration
	crowdPieceBytes         = 64 << 10
)

// crowdPrefix begins the IDs of a crowd's requests, none of which arrives as a whole.
const crowdPrefix = "crowd-"

// crowdStream is the stream of random numbers from which crowds are drawn.
const crowdStream = 83

// crowd is a number of clients that send bodies to one instance and stop just short of their end.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn // guarded by mu
	left  bool       // whether the clients have closed their connections; guarded by mu
}

// crowdFault has a crowd join an instance. When it has left, the memory of the instance's process is checked.
func (r *run) crowdFault(random *rand.Rand) fault {
	entry, chunked := random.IntN(len(r.entries)), random.IntN(2) == 0
	c := &crowd{}
	return fault{fmt.Sprintf("crowd at entry-%d, chunked %t", entry, chunked), func() {
		for n := range crowdSize {
			go c.join(r.entryAddress(entry), fmt.Sprintf("%s%d-%d", crowdPrefix, entry, n), chunked)
		}
	}, func() {
		r.entryMemory.record(r.entries[entry])
		c.leave()
	}}
}

// injectCrowds injects such crowds one after the other, beside all other faults. It returns their descriptions.
func (r *run) injectCrowds(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(r.params.Seed, crowdStream))
	return r.injectInTurn(ctx, random, func() fault { return r.crowdFault(random) })
}

// join sends all but the last byte of a request's body, or all but its last chunk.
func (c *crowd) join(address, id string, chunked bool) {
	conn, err := dialEntry(address)
	if err != nil {
		return
	}
	if !c.add(conn) {
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(recoveryTimeout))
	framing := fmt.Sprintf("Content-Length: %d", crowdBodyBytes)
	piece, size := strings.Repeat("x", crowdPieceBytes), crowdBodyBytes-1
	if chunked {
		framing = "Transfer-Encoding: chunked"
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		size = crowdBodyBytes / crowdPieceBytes * len(piece)
	}
	_, err = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nMartenport-Attempt-Id: %s\r\nMartenport-Deadline-Ms: 600000\r\n%s\r\n\r\n", id, framing)
	for err == nil && size > 0 {
		var n int
		n, err = io.WriteString(conn, piece[:min(len(piece), size)])
		size -= n
	}
}

// add adds a connection, and reports whether the crowd is still there.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// memoryLog records processes that exceed their memory.
type memoryLog struct {
	mu       sync.Mutex
	exceeded []string // guarded by mu
}

// record records the most memory that a process has had, if it runs.
func (l *memoryLog) record(p *process) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	kb, err := procstat.PeakMemoryKB(cmd.Process.Pid)
	if err != nil || kb <= entryMemoryMB<<10 { // an error means that it has just ended
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exceeded = append(l.exceeded, fmt.Sprintf("%s had %d KB of memory, its limit is %d KB", p.name, kb, entryMemoryMB<<10))
}

// violations returns the processes that exceeded their memory.
func (l *memoryLog) violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Violation
	for _, detail := range l.exceeded {
		found = append(found, Violation{"memory", detail})
	}
	return found
}
