// Command 3 shows what becomes of streams that must not be repeated when their engine breaks off its
// answers soon after the first event; see claim.txt.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenport/martenport/review/lab"
)

const (
	service = "redacteur"
	model   = "m0"
	host    = "briefs.example"
	path    = "/brief/1"

	streams   = 240
	gap       = 160 * time.Millisecond
	events    = 58
	pace      = 50 * time.Millisecond
	budget    = 25 * time.Second
	sendAfter = 6 * time.Second
	// reportLag is the age of the values in the engines' reports, and breakOff when a faulty engine breaks
	// an answer off, after its first event.
	reportLag = 400 * time.Millisecond
	breakOff  = 300 * time.Millisecond
	// brokenOffEvery is how many answers of the faulty engine there are to one that it breaks off.
	brokenOffEvery = 50
	// overlap is how long two engines may work on a request.
	overlap = 400 * time.Millisecond
)

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-brief", "host": host, "pathPrefix": "/brief/", "routeType": "streaming", "timeoutMs": 25000, "goalMs": 2500,
			"priority": 0, "service": service, "attempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 300,
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

func main() { lab.Main(run) }

func run(r *lab.Record, trouble bool) (bool, error) {
	fleet, err := lab.NewFleet(r, "mtl-a", "mtl-b", "mtl-c")
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	fleet.Store.Put("config", "main", config())
	var engines []*lab.Engine
	for n := range 3 {
		p := lab.EngineParams{
			ID: fmt.Sprintf("i-%d", n), Service: service, Zone: []string{"mtl-a", "mtl-b", "mtl-c"}[n], Version: "v1", Slots: 64,
			Models: []string{model}, Events: events, Pace: pace, ReportLag: reportLag, Linger: 1500 * time.Millisecond,
		}
		if trouble && n == 0 {
			var answers atomic.Int64
			p.Truncate = func(string) time.Duration {
				if answers.Add(1)%brokenOffEvery == brokenOffEvery/2 {
					return breakOff
				}
				return 0
			}
		}
		e, err := fleet.AddEngine(100+n, p)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
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
	time.Sleep(sendAfter)

	var sending sync.WaitGroup
	for n := range streams {
		a := lab.Attempt{ID: fmt.Sprintf("%08x", n+1), Host: host, Path: path, Model: model, Body: "hello", Budget: budget}
		sending.Go(func() {
			r.Note("attempt %s is sent to %s", a.ID, instances[n%3].Name)
			answer := lab.Send(context.Background(), instances[n%3].Frontend(), a, nil)
			r.Note("attempt %s ends: status %d, seal %s, %d events, complete %v, %v %s", a.ID, answer.Status, answer.Seal, len(answer.Events), answer.Complete, answer.Err, answer.Body)
		})
		time.Sleep(gap)
	}
	sending.Wait()
	time.Sleep(2 * time.Second)

	for _, i := range instances {
		for _, l := range i.Lines("must not be repeated") {
			r.Note("log of %s: %s", i.Name, l)
		}
	}
	runs := map[string][]lab.Run{}
	brokenOff := 0
	for _, e := range engines {
		for _, run := range e.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if !run.Truncated.IsZero() {
				brokenOff++
			}
		}
	}
	if len(runs) == 0 || trouble && brokenOff == 0 {
		return false, errors.New("no answer was broken off")
	}
	twice := 0
	for id, list := range runs {
		for _, first := range list {
			for _, second := range list {
				if !second.Began.After(first.Began) {
					continue
				}
				both := first.Ended.Sub(second.Began)
				r.Note("request %s began at %s %v after it began at %s, which worked on it for another %v", id, second.Server, second.Began.Sub(first.Began).Round(time.Millisecond), first.Server, both.Round(time.Millisecond))
				if both > overlap {
					twice++
				}
			}
		}
	}
	r.Say("streams that must not be repeated: %d, of which engine i-0 ran %d and broke off %d; begun at another engine while the one before worked on them %v later: %d", len(runs), len(engines[0].Runs()), brokenOff, overlap, twice)
	return twice > 0, nil
}
