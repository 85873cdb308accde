package soak

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/martenport/martenport/internal/standin"
)

// endlessParts are the parts of answers of which nothing may reach a client. What a server sends in a sealed body is its
// answer, and reaches the client.
var endlessParts = []standin.Endless{
	standin.EndlessStatusLine, standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInterim, standin.EndlessNotice, standin.EndlessEvent,
}

// endlessFault makes a server answer with bytes without end, to requests, orders and calls for its report.
func (r *run) endlessFault(random *rand.Rand) fault {
	server, part := random.IntN(len(r.servers)), endlessParts[random.IntN(len(endlessParts))]
	if part == standin.EndlessEvent && server >= r.params.Engines {
		part = standin.EndlessNotice // plain servers send no events
	}
	name := fmt.Sprintf("%s without end of %s", part, r.servers[server].name)
	return fault{name, r.beginDisturbance(server, func() { r.setEndless(server, part) }), r.endDisturbance(server, func() { r.setEndless(server, "") })}
}

// setEndless sets what a server sends without end.
func (r *run) setEndless(server int, part standin.Endless) {
	r.postToServer(server, standin.PathEndless, standin.EndlessFault{Part: part}.Query())
}

// injectEndlessFaults injects such faults one after the other, beside all others and without a change to what the seed draws
// of these. It returns their descriptions.
func (r *run) injectEndlessFaults(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(r.params.Seed, 3))
	return r.injectInTurn(ctx, random, func() fault { return r.endlessFault(random) })
}
