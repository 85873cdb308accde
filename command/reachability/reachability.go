// Package reachability tracks to which backend servers this instance can open connections. It is pure: the current
// time is passed in, and nothing is sent.
//
// That a connection cannot be opened does not show that the server is down: only the path from this instance may be
// broken. The state is therefore this instance's own, and what other instances are told is that this instance does not
// reach a server, not that the server has failed.
package reachability

import (
	"sync"
	"time"

	"github.com/martenport/martenport/serving"
)

// isolatedServers is the number of servers of a service that have to fail, one after the other and without a success in
// between, for the instance to count as isolated from the service. If servers of as many services fail like that, it
// counts as isolated from all.
const isolatedServers = 2

// allServices is the key under which the services with failing servers are counted.
const allServices = ""

// Tracker holds the state of the paths from one instance to servers. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*path     // by server ID; guarded by mu
	services map[string]*isolated // by service, and under allServices; guarded by mu
}

// path is the state of the path to one server.
type path struct {
	service string
	// broken is set if the last connection could not be opened.
	broken bool
	// nextProbe is when opening a connection may be tried again.
	nextProbe time.Time
}

// isolated is the state of all paths to the servers of one service.
type isolated struct {
	// failing are the servers, or under allServices the services, that failed since the last success.
	failing map[string]struct{}
}

// Change is a change of the state, for logs.
type Change struct {
	// Path is set if the state of the path to the server changed, and Service if that of its service did.
	Path, Service bool
}

// NewTracker returns a Tracker to which all servers are in reach.
func NewTracker() *Tracker {
	return &Tracker{servers: map[string]*path{}, services: map[string]*isolated{}}
}

// Connected records that a connection to a server was opened.
func (t *Tracker) Connected(s serving.Server) (c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.servers[s.ID]; p != nil {
		delete(t.servers, s.ID)
		c.Path = p.broken
	}
	c.Service = t.clear(s.Service)
	return c
}

// Answered records that a server answered on a connection that was open before. New connections to it may still be
// impossible.
func (t *Tracker) Answered(s serving.Server) (c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Change{Service: t.clear(s.Service)}
}

// clear records that a server of a service is in reach, and reports whether the service was isolated. t.mu must be held.
func (t *Tracker) clear(service string) bool {
	was := t.isolated(service)
	delete(t.services, service)
	delete(t.services, allServices)
	return was
}

// isolated implements Isolated. t.mu must be held.
func (t *Tracker) isolated(service string) bool {
	return t.services[service].isolated() || t.services[allServices].isolated()
}

func (i *isolated) isolated() bool { return i != nil && len(i.failing) >= isolatedServers }

// Failed records that a connection to a server could not be opened, or that an open one was silent for too long.
func (t *Tracker) Failed(s serving.Server, now time.Time) (c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(s)
	c.Path = !p.broken
	p.broken, p.nextProbe = true, now.Add(probeInterval)
	was := t.isolated(s.Service)
	t.failing(s.Service)[s.ID] = struct{}{}
	t.failing(allServices)[s.Service] = struct{}{}
	c.Service = !was && t.isolated(s.Service)
	return c
}

// path returns the state of the path to a server. t.mu must be held.
func (t *Tracker) path(s serving.Server) *path {
	p := t.servers[s.ID]
	if p == nil {
		p = &path{service: s.Service}
		t.servers[s.ID] = p
	}
	return p
}

// failing returns what failed since the last success under a key of services. t.mu must be held.
func (t *Tracker) failing(key string) map[string]struct{} {
	i := t.services[key]
	if i == nil {
		i = &isolated{failing: map[string]struct{}{}}
		t.services[key] = i
	}
	return i.failing
}

// Reaches reports whether a new connection to the server is expected to succeed: the last one did, or none was tried.
func (t *Tracker) Reaches(s serving.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.servers[s.ID]
	return p == nil || !p.broken
}

// probeInterval is the pause between two attempts to reach a server that is out of reach.
const probeInterval = 500 * time.Millisecond

// ProbeDue reports whether reaching a server that is out of reach should be tried now. The next probe is due
// probeInterval later.
func (t *Tracker) ProbeDue(s serving.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(s)
	if now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}

// Isolated reports whether the instance seems to reach no server of a service. One that was not tried may be in reach.
func (t *Tracker) Isolated(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated(service)
}

// Unreached returns the number of servers to which no connection could be opened when that was last tried.
func (t *Tracker) Unreached() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.servers {
		if p.broken {
			n++
		}
	}
	return n
}

// Forget drops the state of a server that is gone.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.servers[id]
	if p == nil {
		return
	}
	delete(t.servers, id)
	if i := t.services[p.service]; i != nil {
		delete(i.failing, id)
		if len(i.failing) == 0 {
			delete(t.services, p.service)
			delete(t.failing(allServices), p.service)
		}
	}
}
