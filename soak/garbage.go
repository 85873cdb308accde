package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// garbageStream selects the random numbers of garbage.
const garbageStream = 4

// allGarbageShare is the ratio of all faults with garbage to those of all servers of a service.
const allGarbageShare = 4

// drawGarbage draws which garbage a server sends. A whole answer that names no request is not drawn behind another one, where
// it can't be told from the answer to the next request.
func drawGarbage(random *rand.Rand, inStream bool) standin.GarbageFault {
	kind := standin.AllGarbage[random.IntN(len(standin.AllGarbage))]
	if inStream {
		return standin.GarbageFault{Kind: kind, Place: standin.GarbageInStream[random.IntN(len(standin.GarbageInStream))]}
	}
	place := standin.GarbageElsewhere[random.IntN(len(standin.GarbageElsewhere))]
	behind := place == standin.GarbageSurplus || place == standin.GarbageSurplusChunks
	if behind && kind == standin.GarbageAnswer {
		kind = standin.GarbageForeign
	}
	return standin.GarbageFault{Kind: kind, Place: place}
}

// garbageFault makes a server, or all of its service, send garbage in streams, or in place of or behind answers to requests,
// orders and calls for reports.
func (r *run) garbageFault(random *rand.Rand) fault {
	server := random.IntN(len(r.servers))
	garbage := drawGarbage(random, server < r.params.Engines && random.IntN(2) == 0)
	targets, of := []int{server}, r.servers[server].name
	if random.IntN(allGarbageShare) == 0 {
		targets, of = r.serversOf(r.serverService(server)), "all servers of "+r.serverService(server)
	}
	name := fmt.Sprintf("garbage %q %s of %s", garbage.Kind, garbage.Place, of)
	begin := func() {
		for _, target := range targets {
			r.beginDisturbance(target, func() { r.setGarbage(target, garbage) })()
		}
	}
	end := func() {
		for _, target := range targets {
			r.endDisturbance(target, func() { r.setGarbage(target, standin.GarbageFault{}) })()
		}
	}
	return fault{name, begin, end}
}

// serversOf returns the servers of a service.
func (r *run) serversOf(service string) (servers []int) {
	for server := range r.servers {
		if r.serverService(server) == service {
			servers = append(servers, server)
		}
	}
	return servers
}

// setGarbage sets which garbage a server sends.
func (r *run) setGarbage(server int, f standin.GarbageFault) {
	r.postToServer(server, standin.PathGarbage, f.Query())
}

// injectGarbage injects such faults one after the other, beside all others and without a change to what the seed draws of
// these. It returns their descriptions.
func (r *run) injectGarbage(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(r.params.Seed, garbageStream))
	return r.injectInTurn(ctx, random, func() fault { return r.garbageFault(random) })
}

// injectInTurn injects drawn faults one after the other, and returns their descriptions.
func (r *run) injectInTurn(ctx context.Context, random *rand.Rand, draw func() fault) []string {
	var injected []string
	for began := time.Now(); ; {
		gap := time.Duration(minLengthMS+random.IntN(lengthSpreadMS)) * time.Millisecond
		length := time.Duration(minLengthMS+random.IntN(lengthSpreadMS)) * time.Millisecond
		f := draw()
		if !pause.For(ctx, gap) || time.Since(began) >= r.params.FaultDuration {
			return injected
		}
		injected = append(injected, fmt.Sprintf("%5.1fs %s for %s", time.Since(began).Seconds(), f.name, length))
		f.begin()
		pause.For(ctx, length)
		f.end()
	}
}

// garbagePlays are orders of faults with engines that send garbage in their streams.
var garbagePlays = []play{
	{name: "garbage", versions: oneVersion, models: commonModels, maxPause: shortPause, act: sendGarbage},
	{name: "garbage-beside-second", versions: twoVersions, models: commonModels, maxPause: shortPause, act: sendGarbage},
}

// garbageLength is how long an engine of a play sends garbage.
const garbageLength = 400 * time.Millisecond

// sendGarbage has one engine after the other send garbage, and then all at a time.
func sendGarbage(ctx context.Context, p *playRun) {
	p.releaseTakeUps()
	for range 2 {
		for server := range p.servers {
			p.setGarbage(server, drawGarbage(p.random, true))
			pause.For(ctx, garbageLength)
			p.setGarbage(server, standin.GarbageFault{})
		}
	}
	for server := range p.servers {
		p.setGarbage(server, drawGarbage(p.random, true))
	}
	pause.For(ctx, 2*garbageLength)
	for server := range p.servers {
		p.setGarbage(server, standin.GarbageFault{})
	}
}

// bodyViolations checks that what a client got is its own answer, or a part of it.
func (req *clientRequest) bodyViolations() []Violation {
	switch {
	case req.status == http.StatusOK && req.complete && req.body != req.expectedBody():
		return []Violation{{"each client gets the whole answer to its own request", fmt.Sprintf("%s (%s) got %q", req.id, req.route, req.body)}}
	case req.status == http.StatusOK && !strings.HasPrefix(req.expectedBody(), req.body):
		return []Violation{{"a part of an answer is a part of the client's own", fmt.Sprintf("%s (%s) got %q", req.id, req.route, req.body)}}
	}
	return nil
}
