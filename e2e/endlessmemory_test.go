package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// sendTogether sends requests at the same time, each on a connection of its own. Half of the clients do not read the body of
// their answers until patience is over.
func (f *entryFleet) sendTogether(name string, requests int, patience time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	var clients sync.WaitGroup
	for n := range requests {
		clients.Go(func() {
			route := []string{"safe", "stream"}[n/2%2]
			id, model := fmt.Sprintf("%s-%d", name, n), ""
			if isStream(route) {
				model = "m1"
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.instances[0]+"/"+route+"/x", strings.NewReader(body(id)))
			if err != nil {
				return
			}
			req.Host, req.Header = clientHost, standin.ClientHeader(id, model, patience)
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if n%2 == 0 {
				<-ctx.Done()
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	clients.Wait()
}

// TestManyAnswersWithoutEndTakeMemory guards against answers without end of all servers of a service to many requests at once,
// also beside clients that do not read, which together end the instance.
func TestManyAnswersWithoutEndTakeMemory(t *testing.T) {
	const (
		requests, patience = 300, 2 * time.Second
		mostKB             = 192 // for each request
	)
	f := newEntryFleet(t)
	servers := []*standin.Server{f.announceServer(t.Context(), "plain", plainService), f.announceServer(t.Context(), "engine", engineService)}
	f.startEntry()
	f.sendTogether("sound", requests, patience)
	before := f.entries[0].peakMemoryKB()
	for n, part := range append(standin.AllEndless, standin.EndlessAfterHead...) {
		for _, s := range servers {
			s.SetEndlessFault(standin.EndlessFault{Part: part, OnlyRequests: true})
		}
		f.sendTogether(fmt.Sprint("case-", n), requests, patience)
		peak := f.entries[0].peakMemoryKB()
		t.Logf("%s: %d KB of memory at most so far, %d KB with sound answers", part, peak, before)
		if peak-before > requests*mostKB {
			t.Errorf("%s: %d requests took %d KB more than with sound answers", part, requests, peak-before)
		}
	}
	for _, s := range servers {
		s.SetEndlessFault(standin.EndlessFault{})
	}
	await(t, "requests are served again", func() bool { return f.send(0, "safe", "after").whole })
}
