//go:build crowd

package e2e

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCrowdOfBodiesAtFleetInstance guards against many large messages whose last byte does not come at an instance of the fleet's
// own interface.
func TestCrowdOfBodiesAtFleetInstance(t *testing.T) {
	t.Setenv("MARTENPORT_MEMORY", fmt.Sprint(crowdMemoryMB))
	f := newFleet(t, false, "100e9")
	i := f.instances["i-a"]
	f.applyDeclaration(i, f.declaration(false, captionModel))
	var members sync.WaitGroup
	for range crowdSize {
		members.Go(func() {
			conn, err := net.Dial("tcp", i.clientAddress)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
			const head = "POST /martenport.v1.InferenceService/Call HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
			if _, err := fmt.Fprintf(conn, head, largestBody); err == nil {
				_ = repeat(conn, strings.Repeat(" ", 64<<10), largestBody-1)
			}
		})
	}
	members.Wait()
	tries := 0
	await(t, "an ordinary call is answered beside the crowd", func() bool {
		tries++
		_, err := i.call("lookup", fmt.Sprint("beside-", tries), "")
		return err == nil
	})
	select {
	case err := <-i.exit:
		t.Fatalf("the process has ended: %v", err)
	default:
	}
	peak := i.peakMemoryKB()
	t.Logf("%d KB of memory at most", peak)
	if peak > crowdMemoryMB<<10 {
		t.Errorf("the process had %d KB of memory, its limit is %d KB", peak, crowdMemoryMB<<10)
	}
}
