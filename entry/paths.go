package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	return &http.Server{Handler: i.tunnels, ReadHeaderTimeout: tunnelHeaderTimeout, MaxHeaderBytes: shortCallHeaderBytes}
}

// reachedEngines returns the fraction of the engines that this instance reaches; 1 if there are none. An engine that was
// not tried counts as in reach unless the instance is isolated from its service.
func (i *Instance) reachedEngines() float64 {
	if i.paths.tracker.Unreached() == 0 {
		return 1
	}
	engines, reached := i.engines(), 0
	for _, s := range engines {
		if i.paths.tracker.Reaches(s) && !i.paths.tracker.Isolated(s.Service) {
			reached++
		}
	}
	if len(engines) == 0 {
		return 1
	}
	return float64(reached) / float64(len(engines))
}

// engines returns the engines that are not leaving.
func (i *Instance) engines() []serving.Server {
	config := i.dir.Config()
	if config == nil {
		return nil
	}
	return slices.DeleteFunc(i.dir.All(), func(s serving.Server) bool {
		return s.Draining || config.Services[s.Service].Engine == nil
	})
}

const (
	// enginesTried is the number of engines that an instance connects to before it takes over the lease: some may be
	// down.
	enginesTried = 3
	// engineTryTimeout bounds that.
	engineTryTimeout = 300 * time.Millisecond
)

// reachesEngine tries whether this instance can connect to an engine. It returns true if there is none.
func (i *Instance) reachesEngine(ctx context.Context) bool {
	engines := i.engines()
	if len(engines) == 0 {
		return true
	}
	rand.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
	engines = engines[:min(enginesTried, len(engines))]
	ctx, cancel := context.WithTimeout(ctx, engineTryTimeout)
	defer cancel()
	reached := make(chan bool, len(engines))
	for _, s := range engines {
		go func() {
			conn, err := i.backends.Connect(ctx, s)
			if err == nil {
				_ = conn.Close()
			}
			reached <- err == nil
		}()
	}
	for range engines {
		if <-reached {
			return true
		}
	}
	return false
}
