package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/reachability"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/tcpdial"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/tunnel"
)

// pathObserver logs and counts to which servers this instance can open connections.
type pathObserver struct {
	tracker *reachability.Tracker
	log     logrus.FieldLogger
}

func newPathObserver(set *metrics.Set, log logrus.FieldLogger) *pathObserver {
	o := &pathObserver{tracker: reachability.NewTracker(), log: log}
	set.NewGauge("martenport_servers_unreached", func() float64 { return float64(o.tracker.Unreached()) })
	return o
}

// changed logs a change of the paths to servers. err is nil if a connection was opened or an answer received.
func (o *pathObserver) changed(s serving.Server, c reachability.Change, err error) {
	fields := logrus.Fields{"server": s.ID, "service": s.Service, "unreached": o.tracker.Unreached()}
	if err != nil {
		fields["error"] = err
	}
	log := o.log.WithFields(fields)
	switch {
	case c.Service && err != nil:
		log.Warn("no server of the service can be reached from here")
	case c.Service:
		log.Info("servers of the service are reached again")
	case c.Path && err != nil:
		log.Info("server cannot be reached from here")
	case c.Path:
		log.Info("server is reached again")
	}
}

// tunnelServers implements tunnel.Servers.
type tunnelServers struct {
	*directory.Directory
	backends *platform.Backends
	tracker  *reachability.Tracker
}

// Connect implements tunnel.Servers.
func (t tunnelServers) Connect(ctx context.Context, s serving.Server) (net.Conn, error) {
	return t.backends.Connect(ctx, s)
}

// Isolated implements tunnel.Servers.
func (t tunnelServers) Isolated(service string) bool { return t.tracker.Isolated(service) }

// Limits of connections to instances that provide tunnels: many round trips between failure domains, with room for
// one lost packet.
const (
	tunnelConnectTimeout = 250 * time.Millisecond
	tunnelUnackedTimeout = 1200 * time.Millisecond
)

// dialTunnels opens connections to instances that provide tunnels. Closing one resets it, and thereby the connection
// to the server.
var dialTunnels = tcpdial.Params{Connect: tunnelConnectTimeout, UnackedTimeout: tunnelUnackedTimeout, ResetOnClose: true}

// useTunnels makes the instance reach servers through other instances if it does not reach them by itself, and provide
// tunnels for others.
func (i *Instance) useTunnels(s *platform.Settings) {
	client := tunnel.NewClient(s.Zone, dialTunnels.Dial, i.members.tunnelProviders)
	i.backends.SetTunnels(client.Dial)
	i.tunnels = tunnel.NewServer(tunnelServers{i.dir, i.backends, i.paths.tracker}, i.set, i.log)
}

// tunnelHeaderTimeout bounds how long a request for a tunnel may take to arrive.
const tunnelHeaderTimeout = time.Second

// newTunnelServer returns the server of requests for tunnels.
func (i *Instance) newTunnelServer() *http.Server {
	return &http.Server{Handler: i.tunnels, ReadHeaderTimeout: tunnelHeaderTimeout}
}
