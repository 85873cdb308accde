// Command 3 shows what becomes of sound requests that share a part of their prompts with a request under which engines
// crash; see claim.txt.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/review/lab"
)

const (
	service = "redacteur"
	model   = "m0"
	other   = "m1"
	host    = "briefs.example"
	path    = "/brief/"

	engineCount = 9
	events      = 5
	pace        = 40 * time.Millisecond
	firstEvent  = 20 * time.Millisecond
	budget      = 20 * time.Second
	sendAfter   = 8 * time.Second
	gap         = 100 * time.Millisecond
	// earlier and later are the numbers of sound requests before and after the one under which engines crash. idle is how long
	// the model is not asked for in between, and settle how long after that request the later ones begin.
	earlier, later = 30, 60
	idle           = 25 * time.Second
	settle         = 12 * time.Second
	downTime       = 3 * time.Second
	tries          = 2
	pause          = 300 * time.Millisecond
	// shared is the first part of all prompts.
	shared = "91bd3f06:198"
	poison = "poison"
)

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-brief", "host": host, "pathPrefix": "/brief/", "routeType": "streaming", "timeoutMs": 25000, "goalMs": 2500,
			"priority": 0, "service": service, "attempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 300,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 156843, "hostMb": 150000.0, "diskMb": 1300000.0,
				"models": []any{
					map[string]any{"name": model, "weightsMb": 65100, "loadS": 6.0, "adapters": 0, "warmS": 0.38, "diskS": 0.76},
					map[string]any{"name": other, "weightsMb": 65100, "loadS": 6.0, "adapters": 0, "warmS": 0.38, "diskS": 0.76},
				},
				"weightsMb": 220000, "adapterSlots": 8, "loadsPerS": 3.1,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func main() { lab.Main(run) }

func run(r *lab.Record, trouble bool) (bool, error) {
	fleet, err := lab.NewFleet(r, "mtl-a", "mtl-b", "mtl-c")
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	fleet.Store.Put("config", "main", config())
	zones := []string{"mtl-a", "mtl-b", "mtl-c"}
	var engines []*lab.Engine
	for n := range engineCount {
		e, err := fleet.AddEngine(100+n, lab.EngineParams{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: zones[n%3], Version: "v1", Slots: 64, Models: []string{[]string{model, other}[n%2]}, InMemory: []string{model, other},
			Events: events, Pace: pace, ReportLag: 200 * time.Millisecond, DownTime: downTime, FirstEvent: firstEvent,
			Poison: func(body string) bool { return body == poison },
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var instances []*lab.Instance
	for n := range 3 {
		i, err := fleet.AddInstance(zones[n])
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(sendAfter)

	c := &caseRun{record: r, instances: instances, ended: map[string]int{}}
	for n := range earlier {
		c.send(fmt.Sprintf("earlier %d", n))
		time.Sleep(gap)
	}
	time.Sleep(idle)
	if trouble {
		c.send(poison)
	}
	time.Sleep(settle)
	for n := range later {
		c.send(fmt.Sprintf("later %d", n))
		time.Sleep(gap)
	}
	c.sending.Wait()

	crashes := 0
	for _, e := range engines {
		crashes += e.Crashes()
	}
	for _, i := range instances {
		for _, l := range i.Lines("servers ended while") {
			r.Note("log of %s: %s", i.Name, l)
		}
	}
	denied := c.ended["earlier 400"] + c.ended["later 400"]
	r.Say("engines that crashed under one request: %d; sound requests before it: %d, served: %d; after it: %d, served: %d, ended with 400: %d",
		crashes, earlier, c.ended["earlier 200"], later, c.ended["later 200"], c.ended["later 400"])
	return float64(denied) > tolerated+float64(c.attempts)/toleratedShare, nil
}

// The rule allows so many requests, and one in so many, to be ended with an own 4xx.
const tolerated, toleratedShare = 5, 500

// caseRun is the state of the case.
type caseRun struct {
	record    *lab.Record
	instances []*lab.Instance
	requests  int
	sending   sync.WaitGroup

	mu       sync.Mutex
	attempts int
	// ended counts the requests by the first word of their bodies and the last status.
	ended map[string]int
}

// send sends a request in the background, and once more at another instance if it fails.
func (c *caseRun) send(body string) {
	c.requests++
	n := c.requests
	c.sending.Go(func() {
		kind, _, _ := strings.Cut(body, " ")
		status := 0
		for try := range tries {
			id, at := fmt.Sprintf("%06x%d", n, try), c.instances[(n+try)%len(c.instances)]
			a := lab.Attempt{ID: id, Host: host, Path: fmt.Sprintf("%s%d/", path, n), Model: model, Body: body, Prefix: shared + ",e440" + id + ":628", Budget: budget}
			c.record.Note("attempt %s, %q, is sent to %s", a.ID, body, at.Name)
			answer := lab.Send(context.Background(), at.Frontend(), a, nil)
			c.record.Note("attempt %s, %q, ends: status %d, %d events, complete %v, %v %s", a.ID, body, answer.Status, len(answer.Events), answer.Complete, answer.Err, answer.Body)
			c.mu.Lock()
			c.attempts++
			c.mu.Unlock()
			status = answer.Status
			if status == 200 && answer.Complete || status == 400 {
				break
			}
			time.Sleep(pause)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended[fmt.Sprintf("%s %d", kind, status)]++
	})
}
