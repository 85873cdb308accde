package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/tunnel"
)

// uploadBytes is the size of a request that the buffers of a tunnel do not hold, so that it is still being sent when its answer ends.
const uploadBytes = 32 << 20

// plainServers has one server, which the providing instance reaches.
type plainServers struct{ server serving.Server }

func (p plainServers) Server(string) (serving.Server, bool) { return p.server, true }
func (p plainServers) Isolated(string) bool                 { return false }
func (p plainServers) Connect(ctx context.Context, s serving.Server) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", s.Address)
}

// tunnelTo returns a client of one instance that provides tunnels to a server which answers each upload early.
func tunnelTo(t *testing.T, answer standin.EarlyAnswer, whole, part string) (*tunnel.Client, serving.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// An answer follows its request. A reset before that could fail the opening of the connection.
				first, _ := io.ReadFull(conn, make([]byte, 1))
				answer.Send(conn, io.LimitReader(conn, uploadBytes-int64(first)), whole, part)
			}()
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := serving.Server{ID: "e1", Service: "llm", Address: l.Addr().String()}
	provider := httptest.NewServer(tunnel.NewServer(plainServers{s}, metrics.NewSet(), log))
	t.Cleanup(func() {
		_ = l.Close()
		provider.Close()
	})
	return tunnel.NewClient("", (&net.Dialer{}).DialContext, func(context.Context) []tunnel.Instance {
		return []tunnel.Instance{{Name: "a", Address: provider.Listener.Addr().String()}}
	}), s
}

// upload sends a long request through a tunnel and reads the answer.
func upload(t *testing.T, c *tunnel.Client, s serving.Server) (string, error) {
	t.Helper()
	conn, err := c.Dial(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		block := make([]byte, 64<<10)
		for sent := 0; sent < uploadBytes; sent += len(block) {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}()
	text, err := io.ReadAll(conn)
	return string(text), err
}

// TestPartOfResetAnswerLooksWhole guards against a part of an answer that passes for a whole one because the providing instance met
// the reset of the server's connection while it was sending the request.
func TestPartOfResetAnswerLooksWhole(t *testing.T) {
	for _, answer := range standin.EarlyAnswers {
		if answer.Whole() {
			continue
		}
		t.Run(answer.Name(), func(t *testing.T) {
			c, s := tunnelTo(t, answer, "the whole answer", "the who")
			for range 6 {
				if text, err := upload(t, c, s); err == nil {
					t.Errorf("the part %q looks whole", text)
				}
			}
		})
	}
}

// TestWholeEarlyAnswerIsLost guards against whole answers that do not arrive because the providing instance closes its connection
// while the request is still being sent.
func TestWholeEarlyAnswerIsLost(t *testing.T) {
	const whole = "the whole answer"
	for _, answer := range standin.EarlyAnswers {
		if !answer.Whole() {
			continue
		}
		t.Run(answer.Name(), func(t *testing.T) {
			c, s := tunnelTo(t, answer, whole, "")
			for range 6 {
				if text, err := upload(t, c, s); err != nil || text != whole {
					t.Errorf("read %q, %v", text, err)
				}
			}
		})
	}
}
