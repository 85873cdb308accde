package rpcpool

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes bounds the messages that are being received on all connections of a Budget. encoding/gob keeps a message in
// memory as a whole, and accepts one of any length.
const maxMessageBytes = 16 << 20

var (
	errMessageTooLarge = errors.Newf("rpc: a message is larger than %d bytes, or its length can't be read", maxMessageBytes)
	errGivenUp         = errors.Newf("rpc: the largest of the messages that are being received, which exceed %d bytes", maxMessageBytes)
)

// Budget bounds the memory of messages that are being received on several connections. If they exceed it, the connections with
// the largest ones are closed, so that those of others are still received. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// held has the length of the message that is being received, by connection, and total is their sum; guarded by mu.
	held  map[*budgetConn]int
	total int
}

// NewBudget returns a Budget for no connection yet.
func NewBudget() *Budget { return &Budget{held: map[*budgetConn]int{}} }

// Limit returns a connection on which messages of encoding/gob are received within the budget.
func (b *Budget) Limit(conn net.Conn) net.Conn { return &budgetConn{Conn: conn, budget: b} }

// hold records that a message is being received, and closes the connections with the largest ones until the rest is within the
// budget. It reports whether c is not one of them.
func (b *Budget) hold(c *budgetConn, length int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[c] = length
	b.total += length
	for b.total > maxMessageBytes {
		largest := c
		for other, held := range b.held {
			if held > b.held[largest] {
				largest = other
			}
		}
		b.remove(largest)
		if largest == c {
			return false
		}
		_ = largest.Conn.Close()
	}
	return true
}

// release records that no message is being received on a connection.
func (b *Budget) release(c *budgetConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

// remove removes a connection; b.mu is held.
func (b *Budget) remove(c *budgetConn) {
	b.total -= b.held[c]
	delete(b.held, c)
}

// budgetConn follows the lengths of the messages that it receives. Read is called by one goroutine.
type budgetConn struct {
	net.Conn
	budget *Budget
	// left is how many bytes of a message are still to come.
	left int
	// length is the part of a message's length that has come, and lengthLeft how many bytes of it are still to come.
	length     uint64
	lengthLeft int
	err        error
}

// Read implements net.Conn. It fails instead of returning the length of a message that is not received.
func (c *budgetConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.follow(p[:n]); c.err != nil {
		_ = c.Close() // else net/rpc waits for a request that is being written, and the other side may not read it
		return 0, c.err
	}
	return n, err
}

// Close implements net.Conn.
func (c *budgetConn) Close() error {
	c.budget.release(c)
	return c.Conn.Close()
}

// follow follows the messages in the bytes that have come.
func (c *budgetConn) follow(p []byte) error {
	for len(p) > 0 {
		if c.left > 0 {
			n := min(c.left, len(p))
			p = p[n:]
			if c.left -= n; c.left == 0 {
				c.budget.release(c)
			}
			continue
		}
		complete, err := c.followLength(p[0])
		if err == nil && complete {
			err = c.begin()
		}
		if err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// followLength reads a byte of a message's length, and reports whether the length is complete. A length below 128 is one byte;
// before a longer one comes the negated number of its bytes.
func (c *budgetConn) followLength(b byte) (complete bool, err error) {
	const maxSingle, longest = 0x7f, 8
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b <= maxSingle:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, -int(int8(b))
	}
	if c.lengthLeft > longest || c.length > maxMessageBytes {
		return false, errMessageTooLarge
	}
	return c.lengthLeft == 0, nil
}

// begin begins to receive a message whose length is known.
func (c *budgetConn) begin() error {
	c.left = int(c.length)
	if c.left > 0 && !c.budget.hold(c, c.left) {
		return errGivenUp
	}
	return nil
}
