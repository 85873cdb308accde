package entry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
)

// Load and bounds of the tests with a prompt part that crashes engines.
const (
	deadlyPart = "d0d0"
	// partInterval is the interval between requests, of which one in deadlyShare has the deadly part.
	partInterval = 25 * time.Millisecond
	deadlyShare  = 8
	// soundParts is the number of different middle parts of sound requests.
	soundParts = 20
	// partCrashes is the number of crashes after which few requests with the part may reach engines, and maxLate how
	// many, once partStability has passed.
	partCrashes   = 5
	maxLate       = 3
	partStability = 3 * time.Second
)

// partLoad sends requests whose prompts have three parts: the first is shared by all, the last is their own.
type partLoad struct {
	*crashFleet
	companion bool
	share     int
	// joined has the instances that have been ready, replaced is the number that were replaced; guarded by crashFleet.mu.
	joined   map[*running]bool
	replaced int
	mu       sync.Mutex
	// deadly has the attempts with the deadly part, and sound what became of the others; guarded by mu.
	deadly map[string]bool
	sound  []soundRequest
}

// soundRequest is a request without the deadly part, at its first attempt.
type soundRequest struct {
	at              time.Time
	served, refused bool
}

func newPartLoad(t *testing.T, s deadlyScenario) *partLoad {
	engines := crashEngineParams{eventPause: shortEventPause, count: 8, poisonPart: deadlyPart, slowReports: s.slowReports}
	return &partLoad{
		crashFleet: newCrashFleetWith(t, cmp.Or(s.instances, 4), engines), companion: s.companion, share: cmp.Or(s.share, deadlyShare), deadly: map[string]bool{},
		joined: map[*running]bool{},
	}
}

// run sends requests at a steady rate, from deadlyFrom on also such with the deadly part, until ctx is done.
func (l *partLoad) run(ctx context.Context, deadlyFrom time.Time) {
	var work sync.WaitGroup
	for n := 0; pause.For(ctx, partInterval); n++ {
		middle := fmt.Sprintf("b%d", rand.IntN(soundParts))
		deadly := n%l.share == 0 && time.Now().After(deadlyFrom)
		if deadly {
			middle = deadlyPart
		}
		if l.companion && (deadly || n%soundParts == 1) {
			middle = "eeee:20," + middle
		}
		work.Go(func() { l.request(ctx, n, middle, deadly) })
	}
	work.Wait()
}

// request sends a request once, and again once if it was not served, as clients do.
func (l *partLoad) request(ctx context.Context, n int, middle string, deadly bool) {
	at := time.Now()
	for attempt := range 2 {
		id := fmt.Sprintf("part-%d-%d", n, attempt)
		if deadly {
			l.mu.Lock()
			l.deadly[id] = true
			l.mu.Unlock()
		}
		status, whole := l.sendParts(ctx, id, fmt.Sprintf("body-%d", n), fmt.Sprintf("aaaa:100,%s:50,c%d:10", middle, n))
		if ctx.Err() != nil {
			return
		}
		if !deadly && attempt == 0 {
			l.mu.Lock()
			l.sound = append(l.sound, soundRequest{at: at, served: whole, refused: status == http.StatusBadRequest})
			l.mu.Unlock()
		}
		if whole || status == http.StatusBadRequest {
			return
		}
	}
}

// pick returns a random instance of those that have been ready, since the platform routes no clients to one before. One that
// is no longer ready still gets requests. If none has been ready yet, any may be returned.
func (l *partLoad) pick() *running {
	l.crashFleet.mu.Lock()
	defer l.crashFleet.mu.Unlock()
	joined := slices.DeleteFunc(slices.Clone(l.instances), func(r *running) bool {
		l.joined[r] = l.joined[r] || r.Ready()
		return !l.joined[r]
	})
	if len(joined) == 0 {
		joined = l.instances
	}
	return joined[rand.IntN(len(joined))]
}

// sendParts sends a request with prompt parts to a random instance.
func (l *partLoad) sendParts(ctx context.Context, id, body, parts string) (status int, whole bool) {
	r := l.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/stream/x", strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Host = "h.example"
	req.Header = standin.ClientHeader(id, "m1", 5*time.Second)
	req.Header.Set("Martenport-Prompt-Prefix", parts)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && string(read) == wholeStream("m1")
}

// crashTimes returns when engines crashed.
func (l *partLoad) crashTimes() []time.Time {
	l.crashFleet.mu.Lock()
	defer l.crashFleet.mu.Unlock()
	return slices.Clone(l.crashedAt)
}

// lateSends returns the number of attempts with the deadly part that reached an engine after the given time.
func (l *partLoad) lateSends(after time.Time) (late int) {
	l.crashFleet.mu.Lock()
	starts := slices.Clone(l.starts)
	l.crashFleet.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range starts {
		for _, a := range s.State().Arrivals {
			if l.deadly[a.ID] && a.At.After(after) {
				late++
			}
		}
	}
	return late
}

// served returns how many sound requests were sent in a span, how many were served at the first attempt, and how many
// were refused as quarantined.
func (l *partLoad) served(from, until time.Time) (served, refused, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.sound {
		if r.at.Before(from) || !r.at.Before(until) {
			continue
		}
		sent++
		if r.served {
			served++
		}
		if r.refused {
			refused++
		}
	}
	return served, refused, sent
}

// check checks the bounds: at most maxLate sends with the deadly part once partStability has passed after crash number
// partCrashes, and sound requests served at the first attempt, from twice that time on.
func (l *partLoad) check(deadlyFrom, end time.Time) {
	t := l.t
	t.Helper()
	crashes := l.crashTimes()
	if len(crashes) == 0 {
		t.Fatal("no engine crashed")
	}
	known := crashes[min(partCrashes, len(crashes))-1]
	late := 0
	if len(crashes) >= partCrashes {
		late = l.lateSends(known.Add(partStability))
	}
	before, _, sentBefore := l.served(time.Time{}, deadlyFrom)
	after, refused, sentAfter := l.served(known.Add(2*partStability), end)
	t.Logf("%d engines crashed, %d instances replaced, %d late sends; sound requests served at once: %d of %d before, %d of %d after, %d refused as quarantined",
		len(crashes), l.replacedInstances(), late, before, sentBefore, after, sentAfter, refused)
	if late > maxLate {
		t.Errorf("%d sends with the part more than %s after crash %d, want at most %d", late, partStability, partCrashes, maxLate)
	}
	if sentAfter < 20 || 100*after < 95*sentAfter {
		t.Errorf("%d of %d sound requests served at the first attempt, want 95 of 100", after, sentAfter)
	}
	if refused > 0 {
		t.Errorf("%d sound requests refused as quarantined", refused)
	}
	t.Cleanup(l.logCrashes)
}

// deadlyScenario is a disturbance of a test with a deadly part, at its instances, and further parts of prompts.
type deadlyScenario struct {
	// companion is a part that all deadly requests have, too, and one in soundParts of the others.
	companion bool
	// instances is the number of instances; 4 if it is 0. slowReports: they report as seldom as in a large fleet.
	instances   int
	slowReports bool
	// share: one request in so many is deadly; deadlyShare if it is 0.
	share int
	// disturb is called when the deadly requests begin.
	disturb func(ctx context.Context, l *partLoad)
}

// replaceInTurn replaces the instances one after the other, without clean shutdowns: one each second, but none before the
// last new one has been ready.
func replaceInTurn(ctx context.Context, l *partLoad) {
	next := time.Now().Add(time.Second)
	for n := 10; pause.For(ctx, time.Until(next)); n++ {
		next = time.Now().Add(time.Second)
		started := l.replaceOldest(n)
		for !started.Ready() && pause.For(ctx, 10*time.Millisecond) {
		}
	}
	if n := l.replacedInstances(); n < 4 {
		l.t.Errorf("%d instances were replaced, want at least all four of the start", n)
	}
}

// replacedInstances returns the number of instances that were replaced.
func (l *partLoad) replacedInstances() int {
	l.crashFleet.mu.Lock()
	defer l.crashFleet.mu.Unlock()
	return l.replaced
}

// replaceOldest kills the oldest instance, starts another one, and returns it.
func (l *partLoad) replaceOldest(machine int) *running {
	l.crashFleet.mu.Lock()
	oldest := l.instances[0]
	l.crashFleet.mu.Unlock()
	l.killInstance(oldest)
	l.crashFleet.mu.Lock()
	defer l.crashFleet.mu.Unlock()
	l.replaced++
	return l.addInstance(machine)
}

// loseHolder kills the holder once an engine has crashed.
func loseHolder(ctx context.Context, l *partLoad) {
	for len(l.crashTimes()) == 0 && pause.For(ctx, 10*time.Millisecond) {
	}
	if r := l.holder(); r != nil {
		l.killInstance(r)
	}
}

// replaceAll kills all instances and starts others, a while after the part has been quarantined.
func replaceAll(ctx context.Context, l *partLoad) {
	if !pause.For(ctx, 5*time.Second) {
		return
	}
	for n := range len(l.instances) {
		l.replaceOldest(20 + n)
	}
}

// crashOthers makes engines crash for a reason of their own, one each second.
func crashOthers(ctx context.Context, l *partLoad) {
	for pause.For(ctx, time.Second) {
		l.crashFleet.mu.Lock()
		s := l.starts[len(l.starts)-1]
		l.crashFleet.mu.Unlock()
		s.Stop()
	}
}

// TestDeadlyPromptPart guards against requests of which no two are alike, but that share a part of their prompts that
// crashes each engine that begins to answer: engines crashed one after the other, and sound requests with them.
func TestDeadlyPromptPart(t *testing.T) {
	for name, scenario := range map[string]deadlyScenario{
		"undisturbed":                 {},
		"with a companion":            {companion: true},
		"holder lost":                 {disturb: loseHolder},
		"all instances replaced":      {disturb: replaceAll},
		"instances replaced in turn":  {disturb: replaceInTurn},
		"engines crash by themselves": {disturb: crashOthers},
		"many instances":              {instances: 12, slowReports: true},
		"many deadly":                 {share: 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := newPartLoad(t, scenario)
			l.await("a holder", func() bool { return l.holder() != nil })
			start := time.Now()
			deadlyFrom, end := start.Add(3*time.Second), start.Add(20*time.Second)
			ctx, stop := context.WithDeadline(context.Background(), end)
			defer stop()
			if scenario.disturb != nil {
				var disturbance sync.WaitGroup
				disturbance.Go(func() {
					if pause.For(ctx, time.Until(deadlyFrom)) {
						scenario.disturb(ctx, l)
					}
				})
				defer disturbance.Wait()
			}
			l.run(ctx, deadlyFrom)
			l.check(deadlyFrom, end.Add(-time.Second))
		})
	}
}
