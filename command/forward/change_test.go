package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/martenport/martenport/serving"
)

// changingServers applies another configuration while the first attempt is in progress.
type changingServers struct {
	*fakeServers
	change func()
}

func (s changingServers) Send(ctx context.Context, a serving.Attempt) (*serving.Response, error) {
	s.change()
	return s.fakeServers.Send(ctx, a)
}

// TestConfigurationChangeDuringRequest: a request in progress is answered according to the
// configuration with which it started, even if it is sent again after the change and the new
// configuration no longer has its route or service.
func TestConfigurationChangeDuringRequest(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "once"} {
		for name, config := range map[string]*serving.Config{
			"all gone":        {Version: 2},
			"another service": {Version: 2, Routes: []serving.Route{{Name: route, Host: "h", Prefix: "/" + route + "/", Targets: []serving.Target{{Service: "none", Weight: 1}}}}},
		} {
			whole := reply{status: http.StatusOK, body: "id: 1\ndata: whole\n\n", events: route == "stream" || route == "once"}
			f := newFixture(t, reply{notExecuted: true, status: http.StatusServiceUnavailable}, whole)
			config.Index()
			f.forwarder.sender = changingServers{f.servers, func() { f.dir.ApplyConfig(config) }}
			w, failure := f.serve(route, "", 0)
			if failure != nil || w.Code != http.StatusOK || w.Body.String() != whole.body {
				t.Errorf("%s, %s: status %d %q, %+v", route, name, w.Code, w.Body, failure)
			}
			if f.dir.Config().Version != 2 || len(f.servers.attempts) != 2 {
				t.Errorf("%s, %s: %d attempts, version %d in force", route, name, len(f.servers.attempts), f.dir.Config().Version)
			}
		}
	}
}
