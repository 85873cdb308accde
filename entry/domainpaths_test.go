package entry

import (
	"context"
	"net"
	"sync"
)

// domainPaths are the paths from instances to servers, other instances and the store, by the failure domain of both ends. The
// store is in none.
type domainPaths struct {
	store string

	mu      sync.Mutex
	domains map[string]string              // by address; guarded by mu
	links   map[int]map[string]*serverLink // by machine and domain of the other end; guarded by mu
}

func newDomainPaths(store string) *domainPaths {
	return &domainPaths{store: store, domains: map[string]string{}, links: map[int]map[string]*serverLink{}}
}

// setDomain records the failure domain of an address.
func (p *domainPaths) setDomain(address, domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[address] = domain
}

// network returns how the instance on a machine opens connections.
func (p *domainPaths) network(machine int) network {
	p.mu.Lock()
	p.links[machine] = map[string]*serverLink{}
	for _, domain := range []string{"", "a", "b", "c", "d"} {
		p.links[machine][domain] = newServerLink()
	}
	p.mu.Unlock()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return p.link(machine, address).dial(ctx, network, address)
	}
	return network{store: dial, servers: dial, peers: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }}
}

// link returns the path from a machine to an address.
func (p *domainPaths) link(machine int, address string) *serverLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[machine][p.domains[address]]
}

// cutDomain cuts a failure domain off from the others and the store, or restores its paths.
func (p *domainPaths) cutDomain(domain string, c cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for machine, links := range p.links {
		for other, link := range links {
			if (brittleDomain(machine) == domain) != (other == domain) {
				link.set(c)
			}
		}
	}
}

// cutMachine cuts a machine off from all servers and instances, but not from the store, or restores its paths.
func (p *domainPaths) cutMachine(machine int, c cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for domain, link := range p.links[machine] {
		if domain != "" {
			link.set(c)
		}
	}
}
