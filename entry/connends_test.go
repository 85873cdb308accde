package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/serving"
)

// TestConnectionEndsAreLogged checks that each cause for which a client's connection ends without a complete answer
// has a log line that names it, and a counter.
func TestConnectionEndsAreLogged(t *testing.T) {
	for end, c := range map[string]struct {
		handler http.HandlerFunc
		client  func(*testClients, *testConn)
		line    string
		fields  []string
	}{
		endHandlerPanic: {
			func(http.ResponseWriter, *http.Request) { panic("spoilt") }, func(_ *testClients, c *testConn) { c.request() },
			"handler panicked: spoilt", []string{"request", "stack", "phase"},
		},
		endAnswerAborted: {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(_ *testClients, c *testConn) { c.request() },
			"connection closed without a whole answer", []string{"request", "context", "phase_ms"},
		},
		endRequestUnserved: {
			serveSlowly, func(_ *testClients, c *testConn) { c.write(testRequest[:20]); _ = c.Close() },
			"connection ended before a request was handed on", []string{"client", "read_error"},
		},
		endAnswerNotSent: {
			func(http.ResponseWriter, *http.Request) { time.Sleep(testServeTime) }, func(_ *testClients, c *testConn) { c.write(testRequest); _ = c.Close() },
			"connection ended before an answer was sent", []string{"write_error"},
		},
		endLimit: {
			serveSlowly, func(*testClients, *testConn) { time.Sleep(time.Minute) },
			"connections over their limit are ended", []string{"idle", "slow_headers", "idle_limit_ms", "oldest_ms", "youngest_ms"},
		},
		endGrace: {
			serveSlowly, func(s *testClients, c *testConn) {
				c.write(testRequest)
				s.clients.drain(time.Now().Add(testServeTime / 2))
			},
			"connections cut off at the end of the grace", []string{"serving", "receiving", "idle"},
		},
	} {
		t.Run(end, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, lines := logtest.NewNullLogger()
				s := newTestClientsWith(t, serving.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: time.Second}, c.handler, log)
				c.client(s, s.connect())
				time.Sleep(time.Minute)
				checkLine(t, lines.AllEntries(), c.line, c.fields)
				if text := metricsText(s.clients.connEnds.set); !strings.Contains(text, `martenport_client_connection_ends_total{end="`+end+`"} 1`) {
					t.Errorf("not counted: %s", text)
				}
			})
		})
	}
}

func checkLine(t *testing.T, lines []*logrus.Entry, message string, fields []string) {
	t.Helper()
	for _, l := range lines {
		if l.Message != message {
			continue
		}
		for _, name := range fields {
			if _, found := l.Data[name]; !found {
				t.Errorf("%q has no field %s: %v", message, name, l.Data)
			}
		}
		return
	}
	t.Errorf("no line %q among %d", message, len(lines))
}

func metricsText(set *metrics.Set) string {
	var text strings.Builder
	set.WritePrometheus(&text)
	return text.String()
}

// TestAbortedAnswerIsIncomplete checks that a client can detect that an answer is incomplete if its handler has
// aborted it.
func TestAbortedAnswerIsIncomplete(t *testing.T) {
	for _, cause := range []any{http.ErrAbortHandler, "spoilt"} {
		synctest.Test(t, func(t *testing.T) {
			log, _ := logtest.NewNullLogger()
			handler := func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("whole"))
				panic(cause)
			}
			s := newTestClientsWith(t, serving.Limits{}, handler, log)
			if s.connect().request() {
				t.Errorf("complete answer although its handler panicked with %v", cause)
			}
		})
	}
}
