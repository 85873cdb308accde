package entry

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// brittleTolerated is the number of rejections a second that the servers of these tests survive.
const brittleTolerated = 4

// TestBrittleServersSurviveOverload guards against servers that end one after the other because they have to reject what exceeds
// their room. They state that they are brittle three seconds before they are.
func TestBrittleServersSurviveOverload(t *testing.T) {
	f := startLoadFleet(&fleet{t: t, plainWork: 250 * time.Millisecond})
	servers := []*standin.Server{f.servers["p1"]}
	for _, id := range []string{"p2", "p3"} {
		f.addServer(id, "plain", nil)
		servers = append(servers, f.servers[id])
	}
	f.await("servers known", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { return len(r.dir.IDs()) < 6 })
	})
	f.model, f.route, f.pause = "", "safe", 6*time.Millisecond // 1.7 times what three servers with eight slots run
	for _, s := range servers {
		s.SetBackpressure(standin.Backpressure{Brittle: strconv.Itoa(brittleTolerated)})
	}
	f.startLoad()
	time.Sleep(3 * time.Second)
	begun := time.Now()
	for _, s := range servers {
		s.SetBrittle(true, brittleTolerated)
	}
	time.Sleep(5 * time.Second)
	until := time.Now()
	f.stopLoad()
	ended := 0
	for _, s := range servers {
		if s.State().EndedByRejections {
			ended++
		}
	}
	e := f.outcomesBetween(begun, until)
	t.Logf("%d of %d servers ended; %v", ended, len(servers), e)
	if ended > 0 {
		t.Errorf("%d of %d servers ended", ended, len(servers))
	}
	if 3*e.served < e.total {
		t.Errorf("%v: want a third served, of the 60%% for which there is room", e)
	}
}
