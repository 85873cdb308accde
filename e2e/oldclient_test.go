package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// TestKilledInstanceCompletesAnswerOfOldClient guards against a part of a stream that looks complete to a client of HTTP/1.0,
// for which the end of the connection is that of the answer, because the instance was killed.
func TestKilledInstanceCompletesAnswerOfOldClient(t *testing.T) {
	const rounds, clients = 3, 24
	f := newEntryFleet(t)
	f.startServer("s1", engineService, "--model", "m1", "--loaded", "m1", "--work", "60ms")
	f.startEntry()
	complete, parts := 0, 0
	for round := range rounds {
		streams := make([]streamPart, clients)
		var wg sync.WaitGroup
		for n := range clients {
			wg.Go(func() {
				id := fmt.Sprintf("round-%d-%d", round, n)
				streams[n] = f.receive(0, "stream", streamForms[n%len(streamForms)], id, standin.ClientHeader(id, "m1", streamTimeout), time.Duration(n%3)*30*time.Millisecond, true)
			})
		}
		time.Sleep(time.Duration(100+150*round) * time.Millisecond)
		if round > 0 {
			f.endEntry(0, syscall.SIGKILL, 0)
		}
		wg.Wait()
		for _, s := range streams {
			switch {
			case s.status != http.StatusOK || !s.whole:
			case len(s.events) == standin.StreamEvents:
				complete++
			default:
				parts++
			}
		}
		await(t, "the instance serves", func() bool {
			return f.send(0, "stream", fmt.Sprintf("again-%d-%d", round, time.Now().UnixNano())).whole
		})
	}
	t.Logf("of %d streams, complete: %d, parts that look complete: %d", rounds*clients, complete, parts)
	if parts > 0 || complete < clients {
		t.Errorf("%d parts look complete, want 0; %d streams are complete, want %d or more", parts, complete, clients)
	}
}
