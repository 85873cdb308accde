package entry

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/rpcpool"
)

// lateGrantServer grants trials, and answers the first request after the caller's timeout.
type lateGrantServer struct {
	trials *quarantine.Trials
	calls  int
}

// Trial answers a request for an isolated run.
func (s *lateGrantServer) Trial(args *TrialArgs, reply *TrialReply) error {
	if args.Over {
		s.trials.End(args.Trial, args.Doubtful, time.Now())
		return nil
	}
	reply.Held, reply.Granted = true, s.trials.Begin(args.Trial, time.Minute, time.Now())
	if s.calls++; s.calls == 1 {
		time.Sleep(2 * callTimeout)
	}
	return nil
}

// TestTrialReleasedAfterLostGrant checks that a grant whose answer is lost does not prevent an isolated run of the
// request by another instance.
func TestTrialReleasedAfterLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &lateGrantServer{trials: quarantine.NewTrials()}
		server := rpc.NewServer()
		if err := server.RegisterName("Entry", holder); err != nil {
			t.Fatal(err)
		}
		pool := rpcpool.New(func(context.Context, string) (net.Conn, error) {
			client, conn := net.Pipe()
			go server.ServeConn(conn)
			return client, nil
		})
		defer pool.Close()
		f := newFollower("a", nil, directory.New(), pool, &members{}, discardLog())
		f.record, f.lastAnswer = lease.Record{Holder: "h", Address: "10.0.0.1:1", Fence: 1}, time.Now()
		trial := quarantine.Trial{Fingerprint: "f", Server: "s1", Instance: "a"}
		if granted, err := f.requestTrial(t.Context(), trial, quarantine.Identity{}, "v1", time.Minute); granted || err == nil {
			t.Errorf("granted %t, %v; want a lost answer", granted, err)
		}
		time.Sleep(callTimeout)
		if other := (quarantine.Trial{Fingerprint: "f", Server: "s2", Instance: "b"}); !holder.trials.Begin(other, time.Minute, time.Now()) {
			t.Error("no isolated run possible elsewhere, although the request runs nowhere")
		}
		time.Sleep(2 * callTimeout)
	})
}
