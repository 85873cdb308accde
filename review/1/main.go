// Command 1 shows what becomes of requests that must not be repeated when engines give some of their
// answers twice; see claim.txt.
package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenport/martenport/review/lab"
)

const (
	service = "redacteur"
	host    = "briefs.example"
	path    = "/brief/1"

	// Each engine has room for three of the models.
	engineCount = 9
	models      = 45
	requests    = 288
	// Every gap some models are asked for at once, the least recently asked for first.
	atOnce    = 4
	gap       = 1150 * time.Millisecond
	events    = 6
	pace      = 40 * time.Millisecond
	budget    = 25 * time.Second
	sendAfter = 6 * time.Second

	// warmLoad is how long a load takes alone, and slowerBy the part by which each other load makes it longer.
	warmLoad = 380 * time.Millisecond
	slowerBy = 0.08

	// faulty engines give one of repeatEvery answers twice, for faultyFor of each faultyPeriod.
	faulty       = 5
	repeatEvery  = 16
	faultyFor    = 5 * time.Second
	faultyPeriod = 6 * time.Second
)

// faults decides which answers are given twice.
type faults struct {
	began   time.Time
	answers atomic.Int64
}

func (f *faults) repeat(string) bool {
	return time.Since(f.began)%faultyPeriod < faultyFor && f.answers.Add(1)%repeatEvery == repeatEvery/3
}

func config() map[string]any {
	var list []any
	for m := range models {
		list = append(list, map[string]any{"name": fmt.Sprintf("m%d", m), "weightsMb": 65100, "loadS": 6.0, "adapters": 0, "warmS": 0.38, "diskS": 0.76})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-brief", "host": host, "pathPrefix": "/brief/", "routeType": "streaming", "timeoutMs": 25000, "goalMs": 2500,
			"priority": 0, "service": service, "attempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 300,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 156843, "moves": true, "backups": true, "handle_s": 5.0, "hostMb": 3000000.0, "diskMb": 1300000.0,
				"models":    list,
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
	var list []string
	for m := range models {
		list = append(list, fmt.Sprintf("m%d", m))
	}
	var engines []*lab.Engine
	zones := []string{"mtl-a", "mtl-b", "mtl-c"}
	f := &faults{began: time.Now()}
	for n := range engineCount {
		p := lab.EngineParams{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: zones[n%3], Version: "v1", Slots: 64, Models: []string{fmt.Sprintf("m%d", n)},
			InMemory: list, Events: events, Pace: pace, ReportLag: 200 * time.Millisecond, LoadTime: warmLoad, SlowerBy: slowerBy,
		}
		if trouble && n < faulty {
			p.Repeat = f.repeat
		}
		e, err := fleet.AddEngine(100+n, p)
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

	var sending sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for n := range requests {
		a := lab.Attempt{ID: fmt.Sprintf("%08x", n+1), Host: host, Path: path, Model: fmt.Sprintf("m%d", n%models), Body: "hello", Budget: budget}
		sending.Go(func() {
			r.Note("attempt %s for %s is sent to %s", a.ID, a.Model, instances[n%3].Name)
			answer := lab.Send(context.Background(), instances[n%3].Frontend(), a, nil)
			mu.Lock()
			statuses[a.ID] = answer.Status
			mu.Unlock()
			r.Note("attempt %s ends: status %d, seal %s, %d events, complete %v, %v %s", a.ID, answer.Status, answer.Seal, len(answer.Events), answer.Complete, answer.Err, answer.Body)
		})
		if n%atOnce == atOnce-1 {
			time.Sleep(gap)
		}
	}
	sending.Wait()
	time.Sleep(time.Second)

	runs := map[string][]lab.Run{}
	rejected, repeated, answers := 0, 0, 0
	for n, e := range engines {
		for _, run := range e.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
		}
		x, y := e.Rejected()
		rejected, repeated = rejected+x, repeated+y
		if n < faulty {
			answers += x + len(e.Runs())
		}
	}
	twice := 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			r.Note("request %s ran %d times:", id, len(list))
			for _, run := range list {
				r.Note("    at %s from %s to %s", run.Server, run.Began.Format(time.StampMilli), run.Ended.Format(time.StampMilli))
			}
		}
	}
	refused := 0
	for id, status := range statuses {
		if status == 503 && len(runs[id]) > 0 {
			refused++
			r.Note("request %s ran and was answered 503", id)
		}
	}
	r.Say("requests that must not be repeated: %d, turned away %d times; the faulty engines gave %d of %d answers twice; requests that ran more than once: %d, that ran and were answered 503: %d",
		requests, rejected, repeated, answers, twice, refused)
	return twice > 0, nil
}
