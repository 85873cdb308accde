package rpcpool

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"
)

// Echo is the service of the test's peer.
type Echo struct{}

// Wait answers only when the test is over.
func (Echo) Wait(*string, *string) error {
	select {}
}

// Say answers with what was said.
func (Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// TestSilentConnection: a connection that has fallen silent is replaced after one
// call that got no answer, while new ones work.
func TestSilentConnection(t *testing.T) {
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	var dialed atomic.Int64
	pool := New(func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		if dialed.Add(1) == 1 {
			go func() { _, _ = io.Copy(io.Discard, theirs) }() // read, and never answered
		} else {
			go server.ServeConn(theirs)
		}
		return ours, nil
	})
	defer pool.Close()
	said, heard := "hello", ""
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := pool.Call(ctx, "peer", "Echo.Say", &said, &heard); err == nil {
		t.Fatal("a silent connection answered")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var again string
	if err := pool.Call(ctx, "peer", "Echo.Say", &said, &again); err != nil || again != said {
		t.Errorf("heard %q, %v on the second call", again, err)
	}
	if dialed.Load() != 2 {
		t.Errorf("%d connections, want 2", dialed.Load())
	}
}

// TestLongCallKeepsConnection: a call that its deadline ends while others are
// answered does not cost the connection.
func TestLongCallKeepsConnection(t *testing.T) {
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	var dialed atomic.Int64
	pool := New(func(context.Context, string) (net.Conn, error) {
		dialed.Add(1)
		ours, theirs := net.Pipe()
		go server.ServeConn(theirs)
		return ours, nil
	})
	defer pool.Close()
	said, heard := "hello", ""
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := pool.Call(ctx, "peer", "Echo.Say", &said, &heard); err != nil { // one connection, before two calls want one
		t.Fatal(err)
	}
	long, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- pool.Call(long, "peer", "Echo.Wait", &said, new(string)) }()
	for long.Err() == nil {
		if err := pool.Call(ctx, "peer", "Echo.Say", &said, &heard); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-ended; err == nil {
		t.Error("a call that is never answered succeeded")
	}
	if err := pool.Call(ctx, "peer", "Echo.Say", &said, &heard); err != nil || dialed.Load() != 1 {
		t.Errorf("%v; %d connections, want 1", err, dialed.Load())
	}
}
