package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/martenport/martenport/internal/connlimit"
)

// Limits of the ports that are not for clients, whoever connects to them.
const (
	// shortCallConns is the number of connections at the ports for readiness, metrics and operators, where calls are short and few.
	shortCallConns = 16
	// instanceSocketShare is the part of an instance's sockets that connections of other instances may take, and again tunnels.
	instanceSocketShare = 0.125
	// A call to such a port has shortCallHeaderTimeout to send its headers of shortCallHeaderBytes at most, and shortCallTimeout as a whole.
	shortCallHeaderTimeout = 5 * time.Second
	shortCallHeaderBytes   = 4 << 10
	shortCallTimeout       = 30 * time.Second
)

// limitConnections bounds the connections of the listeners that are not for clients, so that clients keep their share.
func (i *Instance) limitConnections(l *listeners) {
	perPort := int(instanceSocketShare * float64(i.settings.Load().MaxSockets()))
	for _, port := range []struct {
		name     string
		listener *net.Listener
		most     int
		full     connlimit.Full
	}{
		{"ready", &l.ready, shortCallConns, connlimit.CloseOldest},
		{"metrics", &l.metrics, shortCallConns, connlimit.CloseOldest},
		{"operators", &l.operators, shortCallConns, connlimit.CloseOldest},
		{"peers", &l.peers, perPort, connlimit.CloseNew},
		{"tunnels", &l.tunnels, perPort, connlimit.CloseNew},
	} {
		if *port.listener != nil {
			*port.listener = connlimit.New(*port.listener, port.name, port.most, port.full, i.set, i.log)
		}
	}
}

// newCallServer returns a server of short calls.
func newCallServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: shortCallHeaderTimeout, ReadTimeout: shortCallTimeout, MaxHeaderBytes: shortCallHeaderBytes}
}
