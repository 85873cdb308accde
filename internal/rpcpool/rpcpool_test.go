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

// Echo is the RPC service of the test's peer.
type Echo struct{}

// Wait never returns.
func (Echo) Wait(*string, *string) error {
	select {}
}

// Say returns its argument.
func (Echo) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// TestUnresponsiveConnection checks that a connection on which no data arrives is replaced after
// one call that got no response.
func TestUnresponsiveConnection(t *testing.T) {
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	var dialed atomic.Int64
	pool := New(func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		if dialed.Add(1) == 1 {
			go func() { _, _ = io.Copy(io.Discard, theirs) }() // reads, and never responds
		} else {
			go server.ServeConn(theirs)
		}
		return ours, nil
	})
	defer pool.Close()
	request, reply := "hello", ""
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply); err == nil {
		t.Fatal("a call on an unresponsive connection succeeded")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var second string
	if err := pool.Call(ctx, "peer", "Echo.Say", &request, &second); err != nil || second != request {
		t.Errorf("the second call returned %q, %v", second, err)
	}
	if dialed.Load() != 2 {
		t.Errorf("%d connections, want 2", dialed.Load())
	}
}

// TestLongCallKeepsConnection checks that a call that exceeds its deadline does not close the
// connection if other calls get responses meanwhile.
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
	request, reply := "hello", ""
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply); err != nil { // opens the connection before the concurrent calls
		t.Fatal(err)
	}
	long, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- pool.Call(long, "peer", "Echo.Wait", &request, new(string)) }()
	for long.Err() == nil {
		if err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-ended; err == nil {
		t.Error("a call without a response succeeded")
	}
	if err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply); err != nil || dialed.Load() != 1 {
		t.Errorf("%v; %d connections, want 1", err, dialed.Load())
	}
}
