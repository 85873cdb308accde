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

// slowGrants grants trials, and answers the first one too late.
type slowGrants struct {
	trials *quarantine.Trials
	asked  int
}

// Trial answers whether a suspect may run alone.
func (s *slowGrants) Trial(args *TrialArgs, reply *TrialReply) error {
	if args.Over {
		s.trials.End(args.Trial, args.Doubtful, time.Now())
		return nil
	}
	reply.Held, reply.Granted = true, s.trials.Begin(args.Trial, time.Minute, time.Now())
	if s.asked++; s.asked == 1 {
		time.Sleep(2 * callTimeout)
	}
	return nil
}

// TestTrialHeldByLostGrant: a grant whose answer is lost keeps no other instance from running the request alone.
func TestTrialHeldByLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &slowGrants{trials: quarantine.NewTrials()}
		server := rpc.NewServer()
		if err := server.RegisterName("Entry", holder); err != nil {
			t.Fatal(err)
		}
		pool := rpcpool.New(func(context.Context, string) (net.Conn, error) {
			here, there := net.Pipe()
			go server.ServeConn(there)
			return here, nil
		})
		defer pool.Close()
		f := newFollower("a", nil, directory.New(), pool, &members{}, discardLog())
		f.record, f.lastAnswer = lease.Record{Holder: "h", Address: "10.0.0.1:1", Fence: 1}, time.Now()
		trial := quarantine.Trial{Fingerprint: "f", Server: "s1", Instance: "a"}
		if granted, err := f.requestTrial(t.Context(), trial, "v1", time.Minute); granted || err == nil {
			t.Errorf("granted %t, %v; want the answer lost", granted, err)
		}
		time.Sleep(callTimeout)
		if other := (quarantine.Trial{Fingerprint: "f", Server: "s2", Instance: "b"}); !holder.trials.Begin(other, time.Minute, time.Now()) {
			t.Error("the request cannot run alone elsewhere, though it runs nowhere")
		}
		time.Sleep(2 * callTimeout)
	})
}
