package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/martenport/martenport/internal/standin"
)

// mode is what a proxy does with what passes through it.
type mode int

// The modes.
const (
	pass mode = iota
	// delay holds each piece back for a while.
	delay
	// silent lets nothing through, in both directions.
	silent
	// deaf lets nothing through towards the target.
	deaf
	// mute lets nothing back from the target: what was asked for is done, and
	// its answer is lost.
	mute
	// reset resets each connection.
	reset
)

// pieceDelay is how long a delaying proxy holds a piece back.
const pieceDelay = 80 * time.Millisecond

// proxy is a TCP proxy on loopback whose connections can be disturbed.
type proxy struct {
	at, target string

	mu       sync.Mutex
	listener net.Listener      // guarded by mu
	mode     mode              // guarded by mu
	changed  time.Time         // when the mode last did; guarded by mu
	conns    map[net.Conn]bool // guarded by mu
	// refusing: nothing listens; guarded by mu.
	refusing bool
	woken    chan struct{} // closed when the mode changes; guarded by mu
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(standin.OwnIP(), "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, at: l.Addr().String(), target: target, conns: map[net.Conn]bool{}, woken: make(chan struct{})}
	go p.run(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

func (p *proxy) close() {
	p.refuse(true)
	p.set(reset)
}

// refuse has connections be refused, as at an address at which nothing listens, or taken
// again.
func (p *proxy) refuse(refuses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case refuses == p.refusing:
	case refuses:
		p.refusing = true
		_ = p.listener.Close()
	default:
		l, err := net.Listen("tcp", p.at)
		if err != nil {
			return // the server shows as not coming back
		}
		p.refusing, p.listener = false, l
		go p.run(l)
	}
}

// set changes what is done from now on.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.changed = m, time.Now()
	close(p.woken)
	p.woken = make(chan struct{})
	if m != reset {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) current() (mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.woken
}

func (p *proxy) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	if m, _ := p.current(); m == reset {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, true) })
	both.Go(func() { p.copy(client, server, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy passes pieces on until either side ends.
func (p *proxy) copy(to, from net.Conn, towardsTarget bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(towardsTarget)
			if wasReset(from) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				p.hold(towardsTarget)
			}
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection. What it had sent and
// a partition held up is then lost, as it would be on a network.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) // an error says the same as a pending one
	})
	return err != nil || pending != 0
}

// hold waits while the mode lets nothing through in a direction.
func (p *proxy) hold(towardsTarget bool) {
	for {
		m, woken := p.current()
		switch {
		case m == delay:
			time.Sleep(pieceDelay)
			return
		case m == silent, m == deaf && towardsTarget, m == mute && !towardsTarget:
			<-woken
		default:
			return
		}
	}
}
