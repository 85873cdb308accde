package rpcpool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stallingPeer sends a part of a long message, and then nothing until the connection is closed.
func stallingPeer(sent *sync.WaitGroup) net.Conn {
	const begin, most = "\xfd\xc0\x00\x00", 12 << 20 // the length of a message of 12 MiB
	ours, theirs := net.Pipe()
	sent.Add(1)
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	go func() {
		_, err := io.WriteString(theirs, begin)
		block := strings.Repeat("x", 64<<10)
		for n := len(block); err == nil && n < most; n += len(block) {
			_, err = io.WriteString(theirs, block)
		}
		sent.Done()
	}()
	return ours
}

// TestLongRepliesOfManyTakeMemory guards against replies without end of many instances, each of which is within its own limit,
// and against a sound reply that is given up for them.
func TestLongRepliesOfManyTakeMemory(t *testing.T) {
	const faulty, most = 24, 64 << 20
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	var sent sync.WaitGroup
	pool := New(func(_ context.Context, address string) (net.Conn, error) {
		if address != "sound" {
			return stallingPeer(&sent), nil
		}
		ours, theirs := net.Pipe()
		go server.ServeConn(theirs)
		return ours, nil
	})
	defer pool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls sync.WaitGroup
	for i := range faulty {
		if _, err := pool.conn(ctx, fmt.Sprint("faulty-", i)); err != nil {
			t.Fatal(err)
		}
		calls.Go(func() {
			request := "hello"
			_ = pool.Call(ctx, fmt.Sprint("faulty-", i), "Echo.Say", &request, new(string))
		})
	}
	sent.Wait()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > most {
		t.Errorf("%d bytes are kept of the replies of %d instances, want at most %d", m.HeapAlloc, faulty, most)
	}
	request, reply := strings.Repeat("sound", 1<<20), ""
	soundCtx, cancelSound := context.WithTimeout(ctx, time.Minute)
	defer cancelSound()
	if err := pool.Call(soundCtx, "sound", "Echo.Say", &request, &reply); err != nil || reply != request {
		t.Errorf("a sound reply of %d bytes: %d bytes, %v", len(request), len(reply), err)
	}
	cancel()
	calls.Wait()
}

// TestSoundMessagesAreReceived guards against sound messages of any length and in any pieces that are taken for too long ones.
func TestSoundMessagesAreReceived(t *testing.T) {
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 100, 127, 128, 255, 256, 4096, 65535, 65536, 1 << 18}), 1, 8).Draw(t, "lengths")
		piece := rapid.IntRange(1, 5000).Draw(t, "piece")
		pool := New(func(context.Context, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go server.ServeConn(NewBudget().Limit(pieces{theirs, piece}))
			return pieces{ours, piece}, nil
		})
		defer pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for _, n := range lengths {
			request, reply := strings.Repeat("y", n), ""
			if err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply); err != nil || reply != request {
				t.Fatalf("%d bytes in pieces of %d: %d bytes came back, %v", n, piece, len(reply), err)
			}
		}
	})
}

// pieces reads at most size bytes at a time.
type pieces struct {
	net.Conn
	size int
}

// Read implements net.Conn.
func (p pieces) Read(b []byte) (int, error) { return p.Conn.Read(b[:min(len(b), p.size)]) }
