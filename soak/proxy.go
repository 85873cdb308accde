package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/martenport/martenport/internal/standin"
)

// mode is how a proxy treats traffic.
type mode int

// The modes.
const (
	passAll mode = iota
	// delayChunks delays each chunk of data by chunkDelay.
	delayChunks
	// blockBoth blocks traffic in both directions.
	blockBoth
	// blockToTarget blocks traffic towards the target.
	blockToTarget
	// blockFromTarget blocks traffic from the target: requests are carried out, but their answers are lost.
	blockFromTarget
	// resetConns resets existing and new connections.
	resetConns
)

// chunkDelay is the delay of each chunk in mode delayChunks.
const chunkDelay = 80 * time.Millisecond

// proxy is a TCP proxy on loopback that can disturb its connections.
type proxy struct {
	listenAddress, target string
	// source is the IP address from which it calls the target; "" for any.
	source string
	// toTarget and fromTarget change the addresses in what is passed on; nil for no change.
	toTarget, fromTarget *portRule

	mu        sync.Mutex
	listener  net.Listener      // guarded by mu
	mode      mode              // guarded by mu
	modeSince time.Time         // when the mode was last set; guarded by mu
	conns     map[net.Conn]bool // guarded by mu
	// refusing reports whether the listener is closed, so that connections are refused; guarded by mu.
	refusing    bool
	modeChanged chan struct{} // closed when the mode is set; guarded by mu
}

func newProxy(target string) (*proxy, error) {
	p := &proxy{listenAddress: net.JoinHostPort(standin.UniqueLoopbackIP(), "0"), target: target}
	return p, p.open()
}

// open starts a proxy.
func (p *proxy) open() error {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.listener, p.listenAddress = l, l.Addr().String()
	p.conns, p.modeChanged = map[net.Conn]bool{}, make(chan struct{})
	go p.run(l)
	return nil
}

func (p *proxy) address() string { return p.listenAddress }

func (p *proxy) close() {
	p.setRefusing(true)
	p.setMode(resetConns)
}

// setRefusing closes the listener, so that connections are refused, or opens it again at the same address.
func (p *proxy) setRefusing(refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case refusing == p.refusing:
	case refusing:
		p.refusing = true
		_ = p.listener.Close()
	default:
		l, err := net.Listen("tcp", p.listenAddress)
		if err != nil {
			return // shows up in the recovery checks, since the server stays unreachable
		}
		p.refusing, p.listener = false, l
		go p.run(l)
	}
}

// setMode changes how traffic is treated from now on.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.modeSince = m, time.Now()
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m != resetConns {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) currentMode() (mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
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
	if m, _ := p.currentMode(); m == resetConns {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	var dialer net.Dialer
	if p.source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.source)}
	}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, true) })
	wg.Go(func() { p.copy(client, server, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy copies data from one connection to the other until either is closed.
func (p *proxy) copy(to, from net.Conn, towardsTarget bool) {
	defer to.Close()
	defer from.Close()
	rule := p.fromTarget
	if towardsTarget {
		rule = p.toTarget
	}
	buf, held := make([]byte, 32<<10), 0
	for {
		n, err := from.Read(buf[held:])
		if n > 0 {
			p.waitForMode(towardsTarget)
			if wasReset(from) {
				return
			}
			passed, rest := rule.apply(buf[:held+n])
			if _, err := to.Write(passed); err != nil {
				return
			}
			held = copy(buf, rest)
		}
		if err != nil {
			if err == io.EOF {
				p.waitForMode(towardsTarget)
			} else {
				_ = to.(*net.TCPConn).SetLinger(0) // passes the reset on
			}
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection. Data that it sent before, and that the proxy holds
// back, is then dropped, as it would be on a network.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) // a failed call also means that the connection is gone
	})
	return err != nil || pending != 0
}

// waitForMode delays a chunk, or waits while the mode blocks the direction.
func (p *proxy) waitForMode(towardsTarget bool) {
	for {
		m, changed := p.currentMode()
		switch {
		case m == delayChunks:
			time.Sleep(chunkDelay)
			return
		case m == blockBoth, m == blockToTarget && towardsTarget, m == blockFromTarget && !towardsTarget:
			<-changed
		default:
			return
		}
	}
}
