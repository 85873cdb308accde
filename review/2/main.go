// Command 2 shows what becomes of streams that are in progress when a software version of engines
// joins, and that requesters take up at other instances; see claim.txt.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/martenport/martenport/review/lab"
)

const (
	service = "redacteur"
	model   = "m0"
	host    = "agents.example"
	path    = "/reply/1"

	streams   = 24
	events    = 58
	pace      = 140 * time.Millisecond
	budget    = 12 * time.Second
	attempts  = 4
	sendAfter = 8 * time.Second
	joinAfter = 1500 * time.Millisecond
	killAfter = 3500 * time.Millisecond
	// touchAfter is how long after they are back machines are in touch, and a little more.
	touchAfter = 3500 * time.Millisecond
)

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-reply", "host": host, "pathPrefix": "/reply/", "routeType": "streaming", "timeoutMs": 12000, "goalMs": 400,
			"priority": 1, "service": service, "attempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 300,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 156843, "moves": true, "backups": true, "handle_s": 5.0, "hostMb": 150000.0, "diskMb": 1300000.0,
				"models":    []any{map[string]any{"name": model, "weightsMb": 65100, "loadS": 6.0, "adapters": 0, "warmS": 0.38, "diskS": 0.76}},
				"weightsMb": 220000, "adapterSlots": 8, "loadsPerS": 3.1,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// stream is one requester's stream over all its attempts.
type stream struct {
	number    int
	first     string // the attempt that brought the first event
	last      int    // the last event seen
	deadline  time.Time
	takenUp   bool
	goesOn    bool
	completed bool
}

type caseRun struct {
	record *lab.Record
	fleet  *lab.Fleet
	mu     sync.Mutex
}

// begin sends the first attempt of a stream.
func (c *caseRun) begin(s *stream, at *lab.Instance) {
	s.deadline = time.Now().Add(budget)
	c.send(s, at, lab.Attempt{ID: fmt.Sprintf("%08x0", s.number)})
}

// send sends one attempt and records what it brings.
func (c *caseRun) send(s *stream, at *lab.Instance, a lab.Attempt) lab.Answer {
	a.Host, a.Path, a.Model, a.Body, a.Budget = host, path, model, "hello", time.Until(s.deadline)
	c.record.Note("attempt %s is sent to %s, after event %q of %q", a.ID, at.Name, a.LastEventID, a.Resumes)
	answer := lab.Send(context.Background(), at.Frontend(), a, func(e lab.Event) {
		n, _ := strconv.Atoi(e.ID)
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.last == 0 {
			s.first = a.ID
		}
		if a.LastEventID != "" && n == s.last+1 {
			s.goesOn = true
		}
		s.last = max(s.last, n)
	})
	c.mu.Lock()
	s.completed = s.completed || answer.Status == 200 && answer.Complete && s.last == events
	c.mu.Unlock()
	c.record.Note("attempt %s ends: status %d, Retry-After %q, %d events, complete %v, %v %s", a.ID, answer.Status, answer.RetryAfter, len(answer.Events), answer.Complete, answer.Err, answer.Body)
	return answer
}

// takeUp takes a stream up whose channel has broken, a few times, at the given instances in turn.
func (c *caseRun) takeUp(s *stream, at []*lab.Instance) {
	s.takenUp = true
	for n := 1; n <= attempts && time.Until(s.deadline) > time.Second && !s.completed; n++ {
		answer := c.send(s, at[(s.number+n)%len(at)], lab.Attempt{ID: fmt.Sprintf("%08x%d", s.number, n), LastEventID: strconv.Itoa(s.last), Resumes: s.first})
		wait, err := strconv.ParseFloat(answer.RetryAfter, 64)
		if err != nil {
			wait = 0.3
		}
		if answer.Status != 200 {
			time.Sleep(time.Duration(min(wait, time.Until(s.deadline).Seconds()/3) * float64(time.Second)))
		}
	}
}

func main() { lab.Main(run) }

// killAll kills the processes of all instances, starts them again, and waits until they are in touch.
func killAll(fleet *lab.Fleet, instances []*lab.Instance) error {
	for _, i := range instances {
		i.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, i := range instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(touchAfter)
	return nil
}

// allKilled selects a variant for an entry of the second part of the review, see REPORT.md: both versions serve from the
// start, and the processes of all instances are killed at once.
var allKilled = os.Getenv("VARIANT") == "all-killed"

func run(r *lab.Record, trouble bool) (bool, error) {
	fleet, err := lab.NewFleet(r, "mtl-a", "mtl-b", "mtl-c")
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	c := &caseRun{record: r, fleet: fleet}
	fleet.Store.Put("config", "main", config())
	engine := func(n int, version string, models ...string) error {
		_, err := fleet.AddEngine(100+n, lab.EngineParams{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: []string{"mtl-a", "mtl-b", "mtl-c"}[n%3], Version: version, Slots: 64,
			Models: models, Events: events, Pace: pace, ReportLag: 200 * time.Millisecond,
		})
		return err
	}
	for n := range 3 {
		if err := engine(n, "v1", model); err != nil {
			return false, err
		}
	}
	var instances []*lab.Instance
	for n := range 3 {
		i, err := fleet.AddInstance([]string{"mtl-a", "mtl-b", "mtl-c"}[n])
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	if trouble && allKilled {
		if err := engine(3, "v2"); err != nil {
			return false, err
		}
	}
	time.Sleep(sendAfter)

	var running, others sync.WaitGroup
	var all []*stream
	for n := range streams {
		s := &stream{number: n + 1}
		all = append(all, s)
		running.Go(func() { c.begin(s, instances[0]) })
	}
	time.Sleep(joinAfter)
	takeUpAt := instances[1:]
	if allKilled {
		takeUpAt = instances
		if err := killAll(fleet, instances); err != nil {
			return false, err
		}
	} else {
		if trouble {
			if err := engine(3, "v2"); err != nil { // an engine that starts holds nothing
				return false, err
			}
		}
		time.Sleep(killAfter - joinAfter)
		instances[0].Kill()
	}
	running.Wait()
	for _, s := range all {
		if s.last == 0 || s.completed {
			return false, fmt.Errorf("stream %d was not in progress when its channel broke", s.number)
		}
		others.Go(func() { c.takeUp(s, takeUpAt) })
	}
	if !allKilled {
		time.Sleep(500 * time.Millisecond)
		if err := instances[0].Start(); err != nil {
			return false, err
		}
	}
	var fresh []*stream
	for n := range streams {
		s := &stream{number: 1000 + n}
		fresh = append(fresh, s)
		others.Go(func() { c.begin(s, instances[1+n%2]) })
	}
	others.Wait()

	goOn, begin := 0, 0
	for _, s := range all {
		if s.goesOn {
			goOn++
		}
	}
	for _, s := range fresh {
		if s.last > 0 {
			begin++
		}
	}
	for _, i := range instances {
		for _, l := range i.Lines("client takes a stream up")[:min(2, len(i.Lines("client takes a stream up")))] {
			r.Note("log of %s: %s", i.Name, l)
		}
	}
	r.Say("streams taken up: %d, of which go on: %d; new streams meanwhile: %d, of which begin: %d", len(all), goOn, len(fresh), begin)
	if begin < len(fresh)/2 {
		return false, errors.New("new streams do not begin either")
	}
	return float64(goOn)/float64(len(all)) < 0.5*float64(begin)/float64(len(fresh)), nil
}
