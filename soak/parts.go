package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/martenport/martenport/internal/pause"
)

// A part of prompts crashes each engine that begins to answer a request with it. No two of these requests are alike. The
// entry instances must quarantine the part, and no other.

// deadly is the prefix of the IDs of such parts, and of the bodies and IDs of the requests with them.
const deadly = "deadly"

const (
	// crashesToKnowPart is the number of crashes after which, once quarantineDelay has passed, at most maxLateSends
	// sends of requests with the part may reach engines.
	crashesToKnowPart = 5
	// promptParts is the number of middle parts of prompts that harm nobody.
	promptParts = 12
)

// drawPrompt returns the parts of the prompt of a request: one that all have, one that some share, and its own.
func drawPrompt(random *rand.Rand, id string) string {
	return fmt.Sprintf("aaaa:10,b%d:20,%s:5", random.IntN(promptParts), id)
}

// partFault returns a fault in which clients send requests with a new part that crashes engines.
func (r *run) partFault(ctx context.Context) fault { return r.harmfulFault(ctx, deadly, r.sendDeadly) }

// sendDeadly is one client that sends requests with a part that crashes engines.
func (r *run) sendDeadly(ctx context.Context, part string, client int, random *rand.Rand) {
	deadline := time.Now().Add(poisonDuration)
	for n := 0; time.Now().Before(deadline) && pause.For(ctx, poisonInterval); n++ {
		id := fmt.Sprintf("%s-%d-%d", part, client, n)
		r.sendHarmful(clientRequest{id: id, route: "stream", model: models[random.IntN(len(models))], payload: id, prompt: fmt.Sprintf("aaaa:10,%s:20,%s:5", part, id)}, random)
	}
}

// isHarmful reports whether a request crashes engines.
func (req *clientRequest) isHarmful() bool {
	return strings.HasPrefix(req.payload, poison) || strings.HasPrefix(req.payload, deadly)
}

// concentrateFault returns a fault in which most new connections come to one instance.
func (r *run) concentrateFault(entry int) fault {
	return fault{fmt.Sprintf("most new connections to entry-%d", entry), func() { r.concentrated.Store(int64(1 + entry)) }, func() { r.concentrated.Store(0) }}
}

// concentratedShare is the share of new connections that come to the instance, in tenths.
const concentratedShare = 9

// drawEntry returns the instance that a client's new connection comes to.
func (r *run) drawEntry(random *rand.Rand) int {
	if entry := r.concentrated.Load(); entry > 0 && random.IntN(10) < concentratedShare {
		return int(entry - 1)
	}
	entry := random.IntN(len(r.entries))
	if int64(entry+1) == r.avoided.Load() {
		return (entry + 1) % len(r.entries)
	}
	return entry
}
