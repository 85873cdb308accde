package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/serving"
)

// TestCutOffAnswerLooksCompleteToOldClient guards against an answer that is cut off at the end of the grace period and looks
// complete to a client of HTTP/1.0, and against one that is complete and is reset.
func TestCutOffAnswerLooksCompleteToOldClient(t *testing.T) {
	const piece = 4 << 20 // more than the buffers of a connection take
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, cutOff := range []bool{true, false} {
		begun := make(chan struct{})
		clients := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			close(begun)
			if cutOff {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, strings.Repeat("x", piece))
		}), func() serving.Limits { return serving.Limits{} }, testIntake(), metrics.NewSet(), log)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = clients.serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /x HTTP/1.0\r\nHost: h.example\r\n\r\n")
		<-begun
		if cutOff {
			clients.drain(time.Now())
		} else {
			time.Sleep(100 * time.Millisecond) // the answer fills the buffers
			go clients.drain(time.Now().Add(5 * time.Second))
		}
		answer, err := io.ReadAll(conn)
		_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
		if (err != nil) != cutOff || !cutOff && len(body) != len("begun")+piece {
			t.Errorf("cut off %t: read %d bytes, %v", cutOff, len(body), err)
		}
	}
}
