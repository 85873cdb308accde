package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
)

// uploadBytes is the size of a body that the buffers of a connection do not hold, so that it is still being sent when its answer
// ends.
const uploadBytes = 8 << 20

// upload sends a request with a long body on a new connection.
func (f *entryFleet) upload(route, id string, oldProtocol bool) answer {
	const patience = 10 * time.Second
	a := answer{route: route, id: id}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.instances[0]+"/"+route+"/x", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return a
	}
	model := ""
	if isStream(route) {
		model = "m1"
	}
	req.Host, req.Header = clientHost, standin.ClientHeader(id, model, patience)
	transport := &http.Transport{DisableKeepAlives: true}
	if oldProtocol {
		transport.DialContext = dialOldProtocol
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.seal, a.text, a.whole = resp.StatusCode, resp.Header.Get("Martenport-Server-Seal"), string(text), err == nil
	return a
}

// wantEarly returns the text of a whole answer that is sent before its request has been read.
func (a answer) wantEarly() string {
	if isStream(a.route) {
		return wholeStream
	}
	return "POST /" + a.route + "/x " + strings.Repeat(".", standin.EarlyPadding)
}

// uploadEach sends requests on all routes at once, half of them in HTTP/1.0.
func (f *entryFleet) uploadEach(name string) []answer {
	routes := []string{"safe", "unsafe", "stream", "once"}
	answers := make([]answer, 2*len(routes))
	var work sync.WaitGroup
	for n := range answers {
		work.Go(func() { answers[n] = f.upload(routes[n/2], fmt.Sprintf("%s-%d", name, n), n%2 == 1) })
	}
	work.Wait()
	return answers
}

// TestPartOfResetAnswerReachesClients guards against a part of an answer that a client gets as a whole one because its server reset
// the connection while the body of the request was being sent, and against whole answers that clients do not get although the server
// took the body, or read on.
func TestPartOfResetAnswerReachesClients(t *testing.T) {
	const rounds = 3
	f := newEntryFleetWith(t, func(c *standin.Config) { c.BodyBytes = 2 * uploadBytes })
	servers := []*standin.Server{f.announceServer(t.Context(), "plain", plainService), f.announceServer(t.Context(), "engine", engineService)}
	sent := func() int { return servers[0].EarlyAnswersSent() + servers[1].EarlyAnswersSent() }
	f.startEntry()
	for n, early := range standin.EarlyAnswers {
		for _, s := range servers {
			s.SetEarlyAnswer(&early)
		}
		before := sent()
		whole, parts, failed := 0, map[string]int{}, 0
		for round := range rounds {
			for _, a := range f.uploadEach(fmt.Sprintf("case-%d-%d", n, round)) {
				switch {
				case !a.whole || a.status != http.StatusOK:
					failed++
				case a.text == a.wantEarly():
					whole++
				default:
					parts[a.route]++
				}
			}
		}
		t.Logf("%s: %d sent; whole %d, failed %d, parts that look whole %v", early.Name(), sent()-before, whole, failed, parts)
		if sent() == before {
			t.Errorf("%s: no server has sent such an answer", early.Name())
		}
		if len(parts) > 0 || !early.Whole() && whole > 0 {
			t.Errorf("%s: clients got %d whole answers, and parts as whole ones: %v", early.Name(), whole, parts)
		}
		if early.Whole() && failed > 0 {
			t.Errorf("%s: %d whole answers did not reach their clients", early.Name(), failed)
		}
	}
	for _, s := range servers {
		s.SetEarlyAnswer(nil)
	}
	await(t, "sound answers are relayed again", func() bool {
		a := f.send(0, "safe", fmt.Sprint("after-", time.Now().UnixNano()))
		return a.whole && a.text == a.want()
	})
}
