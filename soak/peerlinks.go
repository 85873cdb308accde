package soak

import (
	"bytes"
	"fmt"
	"net"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/standin"
)

// Instances learn each other's addresses from the store and from each other. A run with peer links puts a proxy between each
// two of them: whatever an instance is told, the ports of the others' addresses are those of its own proxies to them.

// The port at which an instance serves the others, and the first of those of the proxies to it. They have equally many digits.
const peerPort, firstLinkPort = 7380, 7400

// linkPort returns the port of the proxies that an instance uses.
func linkPort(source int) int { return firstLinkPort + source }

// startPeerLinks starts the proxies between the instances.
func (r *run) startPeerLinks() error {
	for source := range r.params.Entries {
		links := map[int]*proxy{}
		for target := range r.params.Entries {
			if target == source {
				continue
			}
			p := &proxy{
				listenAddress: r.peerAddress(target, linkPort(source)), target: r.peerAddress(target, peerPort),
				toTarget: r.peerAddressesAs(linkPort(target)), fromTarget: r.peerAddressesAs(linkPort(source)),
			}
			if err := p.open(); err != nil {
				return errors.Wrap(err, "soak: start proxy between instances")
			}
			links[target] = p
		}
		r.peerLinks = append(r.peerLinks, links)
	}
	return nil
}

// newStoreProxy starts the proxy to the store of an entry instance.
func (r *run) newStoreProxy(entry int) (*proxy, error) {
	if len(r.peerLinks) == 0 {
		return newProxy(r.storeAddress)
	}
	p := &proxy{
		listenAddress: net.JoinHostPort(standin.UniqueLoopbackIP(), "0"), target: r.storeAddress, source: r.storeWatcher(entry),
		toTarget: r.peerAddressesAs(peerPort), fromTarget: r.peerAddressesAs(linkPort(entry)),
	}
	return p, p.open()
}

// peerAddress returns the address of an instance with a port.
func (r *run) peerAddress(entry, port int) string {
	return net.JoinHostPort(r.entryIP(entry), strconv.Itoa(port))
}

// setPeerLink changes how traffic between two instances is treated, whichever of them has opened the connection.
func (r *run) setPeerLink(a, b int, m mode) {
	r.peerLinks[a][b].setMode(m)
	r.peerLinks[b][a].setMode(m)
}

// storeWatcher returns the address from which an instance's proxy calls the store in a run with peer links.
func (r *run) storeWatcher(entry int) string { return fmt.Sprintf("127.4.%d.%d", r.subnet, 1+entry) }

// peerAddressesAs returns the rule that gives the instances' addresses a port.
func (r *run) peerAddressesAs(port int) *portRule {
	prefix := fmt.Sprintf("127.2.%d.", r.subnet)
	const others = `\d{1,3}:)(?:7380|74\d\d)`
	return &portRule{
		prefix: []byte(prefix), addresses: regexp.MustCompile(`(` + regexp.QuoteMeta(prefix) + others),
		replacement: []byte("${1}" + strconv.Itoa(port)),
	}
}

// portRule replaces the ports of addresses in a stream of data by others of the same length.
type portRule struct {
	prefix      []byte
	addresses   *regexp.Regexp
	replacement []byte
}

// restOfAddress matches what may follow the prefix of an address that has not arrived as a whole.
var restOfAddress = regexp.MustCompile(`^(\d{0,3}|\d{1,3}:\d{0,3})$`)

// maxAddressLength is the length of the longest address.
const maxAddressLength = len("127.2.250.250:7380")

// apply returns data as it is passed on, and the part at its end that may be the beginning of an address, which is not.
func (p *portRule) apply(data []byte) (passed, rest []byte) {
	if p == nil {
		return data, nil
	}
	end, whole := len(data), 0
	if found := p.addresses.FindAllIndex(data, -1); len(found) > 0 {
		whole = found[len(found)-1][1]
	}
	for i := max(whole, len(data)-maxAddressLength+1); i < len(data); i++ {
		if p.mayBegin(data[i:]) {
			end = i
			break
		}
	}
	return p.addresses.ReplaceAll(data[:end], p.replacement), data[end:]
}

// mayBegin reports whether the end of the data may be the beginning of an address, but is not a whole one.
func (p *portRule) mayBegin(tail []byte) bool {
	if len(tail) <= len(p.prefix) {
		return bytes.HasPrefix(p.prefix, tail)
	}
	return bytes.HasPrefix(tail, p.prefix) && restOfAddress.Match(tail[len(p.prefix):])
}
