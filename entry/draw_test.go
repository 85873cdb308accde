package entry

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/lease"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/rpcpool"
)

// slowDraws is a holder that answers too late.
type slowDraws struct{}

func (slowDraws) Draw(_ *DrawArgs, reply *DrawReply) error {
	time.Sleep(drawTimeout + drawTimeout/2)
	reply.Granted = true
	return nil
}

func (slowDraws) Limits(*LimitsArgs, *LimitsReply) error { return nil }

// TestLateDrawIsNotRead guards against a reply of the holder that is read while it still arrives (seen with -race only).
func TestLateDrawIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := rpc.NewServer()
		if err := server.RegisterName("Entry", slowDraws{}); err != nil {
			t.Fatal(err)
		}
		pool := rpcpool.New(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.ServeConn(far)
			return near, nil
		})
		f := newFollower("a", nil, directory.New(), pool, &members{}, discardLog())
		f.record, f.lastAnswer = lease.Record{Holder: "b", Address: "b"}, clock.Now()
		go func() {
			time.Sleep(drawTimeout / 2)
			_, _ = f.queryLimits(t.Context()) // the connection is kept since it is answered
		}()
		if got, err := f.requestDraw(t.Context(), "w", quota.Draw{}); err == nil || got.Granted {
			t.Errorf("%+v, %v; want an error", got, err)
		}
		time.Sleep(time.Minute)
		pool.Close()
	})
}
