package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestUnframedAnswers guards against answers that end with their connections, without a length or chunks, and are taken
// for broken off when they are whole, or for whole when they are broken off: by a reset, or within an event.
func TestUnframedAnswers(t *testing.T) {
	for _, closeWithinEvent := range []bool{false, true} {
		t.Run(fmt.Sprintf("closed within an event %t", closeWithinEvent), func(t *testing.T) {
			f := &versionFleet{fleet: newFleet(t, 2)}
			f.configure("stream", "once", "unsafe", "safe")
			for i := range 3 {
				f.addUnframed(fmt.Sprintf("u%d", i), closeWithinEvent)
			}
			f.removeServer("e1")
			f.removeServer("e2")
			f.awaitServers(3)
			for range 30 {
				f.servers["u0"].CutStreams(1)
				f.servers["u1"].CutStreams(1)
				a := f.request(f.instances[0], "stream", "m1")
				if a.err == nil && a.status == http.StatusOK && a.body != wholeStream("m1") {
					t.Errorf("a part of a stream looks complete: %q", a.body)
				}
				if a.err == nil && a.status == http.StatusOK {
					f.complete++
				}
			}
			if f.complete < 25 {
				t.Errorf("%d of 30 streams complete, want those that go on at another engine", f.complete)
			}
			if a := f.request(f.instances[0], "unsafe", ""); a.err != nil || a.body != "POST /unsafe/x?q=1 body" {
				t.Errorf("plain answer: %+v", a)
			}
		})
	}
}

// addUnframed starts an engine with the model m1 that sends unframed answers.
func (f *versionFleet) addUnframed(id string, closeWithinEvent bool) {
	f.addEngine(standin.ServerParams{ID: id, Loaded: []string{"m1"}, Unframed: true, CloseWithinEvent: closeWithinEvent})
}

// TestUnframedAnswersInTunnels guards against unframed answers that an instance without a path to their servers takes for
// broken off, because it can't see itself that the servers run.
func TestUnframedAnswersInTunnels(t *testing.T) {
	for name, c := range map[string]cut{"refused": cutRefused, "silent": cutSilent, "new ones refused": cutNew} {
		t.Run(name, func(t *testing.T) {
			f := &versionFleet{fleet: (&fleet{t: t, links: map[int]*serverLink{}}).start(2)}
			f.configure("stream", "once", "unsafe", "safe")
			f.addUnframed("u", false)
			f.removeServer("e1")
			f.removeServer("e2")
			f.awaitServers(1)
			f.links[0].set(c)
			f.await("an answer in a tunnel", func() bool { return f.request(f.instances[0], "stream", "m1").body == wholeStream("m1") })
			for range 10 {
				if a := f.request(f.instances[0], "once", "m1"); a.err != nil || a.body != wholeStream("m1") {
					t.Errorf("answer %+v, want the whole stream", a)
				}
			}
		})
	}
}

// TestBrokenAnswerToOldClient guards against a part of a stream that looks complete to a client of HTTP/1.0, which knows
// no chunks: its answer ends with the connection, which has to be reset.
func TestBrokenAnswerToOldClient(t *testing.T) {
	f := &versionFleet{fleet: newFleet(t, 1)}
	f.configure("stream", "once", "unsafe", "safe")
	f.addEngine(standin.ServerParams{ID: "only", Loaded: []string{"m1"}})
	f.removeServer("e1")
	f.removeServer("e2")
	f.awaitServers(1)
	for _, cut := range []bool{false, true} {
		if cut {
			f.servers["only"].CutStreams(3)
		}
		conn, err := net.Dial("tcp", f.instances[0].address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		header := standin.ClientHeader(newAttemptID(), "m1", 5*time.Second)
		_, _ = io.WriteString(conn, "POST /once/x HTTP/1.0\r\nHost: h.example\r\n")
		_ = header.Write(conn)
		_, _ = io.WriteString(conn, "\r\n")
		answer, err := io.ReadAll(conn)
		if (err != nil) != cut || strings.HasSuffix(string(answer), wholeStream("m1")) == cut {
			t.Errorf("broken off %t: read %q, %v", cut, answer, err)
		}
	}
}
