package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// Callers that compete for the engines: those of the route "patient", who come in bursts, and those of all others. Their
// objectives differ enough for the engines' room to be divided.
const (
	patientRoute                      = "patient"
	urgentObjective, patientObjective = time.Second, 3 * time.Second
	patientPriority                   = 3
	minBurstPause, maxBurstPause      = 3 * time.Second, 7 * time.Second
	burstRequests                     = 80
	burstSpread                       = 200 * time.Millisecond
	slowEngineEvery, slowEngineFactor = 3, 2
	// burstStream selects the random numbers of the bursts.
	burstStream = 20000
)

// engineWork returns how long a server takes for a request or for an event. Some engines are slow.
func (r *run) engineWork(server int) time.Duration {
	if server < r.params.Engines && server%slowEngineEvery == 0 {
		return slowEngineFactor * requestWork
	}
	return requestWork
}

// startBursts starts the patient callers and adds them to wg. They call record with each request.
func (r *run) startBursts(ctx context.Context, wg *sync.WaitGroup, record func(clientRequest)) {
	random := rand.New(rand.NewPCG(r.params.Seed, burstStream))
	wg.Go(func() {
		var burst sync.WaitGroup
		defer burst.Wait()
		for n := 0; pause.For(ctx, minBurstPause+time.Duration(random.Int64N(int64(maxBurstPause-minBurstPause)))); n++ {
			model := models[random.IntN(len(models))]
			for i := range burstRequests {
				req := clientRequest{id: fmt.Sprintf("patient-%d-%d", n, i), route: patientRoute, model: model, payload: fmt.Sprintf("patient %d %d", n, i)}
				entry, delay := random.IntN(len(r.entries)), time.Duration(random.Int64N(int64(burstSpread)))
				burst.Go(func() {
					if pause.For(ctx, delay) {
						r.sendTo(entry, &req)
						record(req)
					}
				})
			}
		}
	})
}

// classCounts counts what the callers of a class got.
type classCounts struct{ requests, onTime, late, refused, failed int }

// countClass adds a request to the counts of its class if it is one for an engine that no key and no limit of its
// workspace affects.
func (r *Result) countClass(req clientRequest) {
	if req.model == "" || workspaceOf(req.key) != steadyWorkspace {
		return
	}
	class, objective := "urgent", urgentObjective
	if req.route == patientRoute {
		class, objective = patientRoute, patientObjective
	}
	if r.classes == nil {
		r.classes = map[string]*classCounts{}
	}
	c := r.classes[class]
	if c == nil {
		c = &classCounts{}
		r.classes[class] = c
	}
	c.requests++
	switch {
	case req.refused():
		c.refused++
	case req.status == http.StatusOK && req.complete && req.duration <= objective:
		c.onTime++
	case req.status == http.StatusOK && req.complete:
		c.late++
	default:
		c.failed++
	}
}

// Classes says, for each class, what its callers got.
func (r *Result) Classes() []string {
	var list []string
	for class, c := range r.classes {
		list = append(list, fmt.Sprintf("%s: %d requests, %d on time, %d late, %d refused, %d failed", class, c.requests, c.onTime, c.late, c.refused, c.failed))
	}
	slices.Sort(list)
	return list
}

// retryViolations checks that a patient caller who is refused is told when to return.
func (req *clientRequest) retryViolations() []Violation {
	if req.route != patientRoute || req.status != http.StatusServiceUnavailable {
		return nil
	}
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(req.retryAfter), 64); err == nil && seconds > 0 {
		return nil
	}
	return []Violation{{"a refused request is told when to return", fmt.Sprintf("%s: Retry-After %q", req.id, req.retryAfter)}}
}
