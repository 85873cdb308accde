// Command 3 shows what becomes of an instance to which requesters send bodies of the size that the
// configuration allows; see claim.txt.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/review/lab"
)

const (
	service = "aiguilleur"
	host    = "notices.example"
	path    = "/cancel/1"

	requesters = 100
	maxBody    = 4194304
	smallBody  = 600
	budget     = 4 * time.Second
	// perRequester is the number of requests that each requester sends on its kept channel.
	perRequester = 3
	restartAfter = 500 * time.Millisecond
	// tolerated is how many requests may be passed on and end with their kept channel.
	tolerated = 3
)

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-cancel", "host": host, "pathPrefix": "/cancel/", "routeType": "unsafe", "timeoutMs": 4000, "goalMs": 300,
			"priority": 2, "service": service, "attempts": 1,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// resident returns the memory of a process in MB.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, found := strings.CutPrefix(string(line), "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

func main() { lab.Main(run) }

func run(r *lab.Record, trouble bool) (bool, error) {
	fleet, err := lab.NewFleet(r, "mtl-a", "mtl-b", "mtl-c")
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	fleet.Store.Put("config", "main", config())
	var servers []*lab.Plain
	for n := range 3 {
		server, err := fleet.AddPlain(100+n, lab.PlainParams{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: []string{"mtl-a", "mtl-b", "mtl-c"}[n], Slots: 6, Queue: 24, Work: 60 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, server)
	}
	var instances []*lab.Instance
	for _, zone := range []string{"mtl-a", "mtl-b", "mtl-c"} {
		i, err := fleet.AddInstance(zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	size := smallBody
	if trouble {
		size = maxBody
	}
	body := strings.Repeat("x", size)
	c := &caseRun{record: r, instance: instances[0], answered: map[string]bool{}, closed: map[string]bool{}}
	monitor, stopMonitor := context.WithCancel(context.Background())
	defer stopMonitor()
	var watching sync.WaitGroup
	watching.Go(func() { c.guardMemory(monitor) })
	var sending sync.WaitGroup
	for n := range requesters {
		sending.Go(func() { c.request(n, body) })
	}
	sending.Wait()
	stopMonitor()
	watching.Wait()

	passedOn := map[string]bool{}
	for _, s := range servers {
		for _, id := range s.Arrived() {
			passedOn[id] = true
		}
	}
	lost := 0
	for id := range c.closed {
		if passedOn[id] {
			lost++
			r.Note("attempt %s was passed on to a server, and its kept channel was closed without an answer", id)
		}
	}
	r.Say("requests of %d bytes: %d answered, %d ended with their channel; most memory of the process: %d MB of %d; killed for that: %d times; passed on and closed without an answer on kept channels: %d",
		size, len(c.answered), len(c.closed), c.most, lab.MemoryMB, c.kills, lost)
	return lost > tolerated, nil
}

// caseRun is the state of the case.
type caseRun struct {
	record   *lab.Record
	instance *lab.Instance

	mu               sync.Mutex
	answered, closed map[string]bool // by attempt; closed has those on kept channels
	most, kills      int
}

// guardMemory ends the instance's process, as the platform does, when it exceeds its memory, and starts it again.
func (c *caseRun) guardMemory(ctx context.Context) {
	for ctx.Err() == nil {
		used := resident(c.instance.PID())
		c.most = max(c.most, used)
		if used > lab.MemoryMB {
			c.kills++
			c.record.Note("%s uses %d MB: the platform kills its process", c.instance.Name, used)
			c.instance.Kill()
			time.Sleep(restartAfter)
			_ = c.instance.Start() // requests fail if it cannot be started
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// request sends the requests of one requester: a small one, after which the channel is kept, then others on it.
func (c *caseRun) request(n int, body string) {
	channel := lab.NewChannel()
	defer channel.Close()
	for k := range perRequester + 1 {
		a := lab.Attempt{ID: fmt.Sprintf("%04x%04x", n, k), Host: host, Path: path, Body: body, Budget: budget}
		if k == 0 {
			a.Body = body[:smallBody]
		}
		answer := channel.Send(context.Background(), c.instance.Frontend(), a)
		c.record.Note("attempt %s, %d bytes, ends: status %d, kept channel %v, %v", a.ID, len(a.Body), answer.Status, answer.Kept, answer.Err)
		c.mu.Lock()
		switch {
		case answer.Status != 0:
			c.answered[a.ID] = true
		case answer.Kept:
			c.closed[a.ID] = true
		}
		c.mu.Unlock()
		if answer.Status == 0 {
			return // the requester comes back another day
		}
		if k == 0 {
			time.Sleep(time.Second) // the others have a channel by then
		}
	}
}
