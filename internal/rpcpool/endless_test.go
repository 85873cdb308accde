package rpcpool

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestReplyWithoutEndTakesMemory guards against a reply without end, which is kept in memory as a whole.
func TestReplyWithoutEndTakesMemory(t *testing.T) {
	const most, sent = 32 << 20, 256 << 20
	for name, begin := range map[string]string{"long message": "\xfc\x7f\xff\xff\xff", "no message": ""} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			pool := New(func(context.Context, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, theirs) }()
				go func() {
					defer theirs.Close()
					_, err := io.WriteString(theirs, begin)
					block := strings.Repeat("x", 64<<10)
					for err == nil && written.Load() < sent {
						_, err = io.WriteString(theirs, block)
						written.Add(int64(len(block)))
					}
				}()
				return ours, nil
			})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request, reply := "hello", ""
			err := pool.Call(ctx, "peer", "Echo.Say", &request, &reply)
			if n := written.Load(); err == nil || ctx.Err() != nil || n > most {
				t.Errorf("%v, %d bytes read, want at most %d", err, n, most)
			}
		})
	}
}
