// Package connlimit bounds the open connections of a listener.
package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
)

// Full states which connection is closed when a new one exceeds the limit.
type Full int

const (
	// CloseNew closes the new one, for connections that are kept.
	CloseNew Full = iota
	// CloseOldest closes the one that was accepted first, for connections that carry one short call. A crowd of callers that do not
	// end their calls does not keep others out.
	CloseOldest
)

// Listener is a net.Listener with a limit. It accepts TCP connections only.
type Listener struct {
	net.Listener
	most   int
	full   Full
	closed func()

	mu sync.Mutex
	// conns are the open connections in the order in which they were accepted; guarded by mu.
	conns []*conn
}

// logInterval is the time between two log lines about connections that exceed the limit.
const logInterval = 10 * time.Second

// New returns a Listener on l for at most most connections, 0 for no limit. Connections that exceed the limit are counted and logged
// by name.
func New(l net.Listener, name string, most int, full Full, set *metrics.Set, log logrus.FieldLogger) *Listener {
	lines, counter := boundedlog.NewLines(logInterval), set.GetOrCreateCounter(`martenport_connections_over_limit_total{listener="`+name+`"}`)
	return &Listener{Listener: l, most: most, full: full, closed: func() {
		counter.Inc()
		if omitted, due := lines.Due(name, clock.Now()); due {
			log.WithFields(logrus.Fields{"listener": name, "limit": most, "omitted": omitted}).Warn("connection over the limit closed")
		}
	}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, isTCP := accepted.(*net.TCPConn)
		if !isTCP || l.most <= 0 {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp, listener: l}
		closed := l.add(c)
		if closed != nil {
			l.closed()
			_ = closed.Close()
		}
		if closed != c {
			return c, nil
		}
	}
}

// add adds a connection and returns the one that has to be closed; nil if there is none.
func (l *Listener) add(c *conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.most {
		l.conns = append(l.conns, c)
		return nil
	}
	if l.full == CloseNew {
		return c
	}
	oldest := l.conns[0]
	l.conns = append(l.conns[1:], c)
	return oldest
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.conns {
		if other == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			return
		}
	}
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	listener *Listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}
