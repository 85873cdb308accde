package entry

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// crashFleet is a fleet whose engines end when they begin the poison, and are back.
type crashFleet struct {
	*fleet
	engines crashEngines
	lines   *keptLines
	// mu guards the list of instances, too, while some are replaced.
	mu sync.Mutex
	// starts has all starts of engines; ended when engines ended; guarded by mu.
	starts []*standin.Server
	ended  []time.Time
	// tries are the ids of the tries of the poison; guarded by mu.
	tries map[string]bool
	// sent, failed and refused count innocent requests: those that did not get their
	// answer, and those that were taken for the poison; guarded by mu.
	sent, failed, refused int
}

// crashEngines says how engines end.
type crashEngines struct {
	// eventPause is the pause between events of their streams.
	eventPause time.Duration
	// sameID: they bear the same id again after they have ended, and their entries stay.
	sameID bool
	// count is how many there are, crashingEngines if zero.
	count int
	// slowReports: instances report as seldom as in a large fleet.
	slowReports bool
	// endsAfter is how long after their answer to the poison has broken off they end.
	endsAfter time.Duration
	// unsealed: they answer the poison with a head that has no receipt before they end.
	unsealed bool
}

func (e crashEngines) number() int { return cmp.Or(e.count, crashingEngines) }

// crashingEngines is how many engines there are that end, where a test does not say.
const crashingEngines = 6

// newCrashFleet starts instances before engines that have the same model.
func newCrashFleet(t *testing.T, instances int, eventPause time.Duration) *crashFleet {
	return newCrashFleetWith(t, instances, crashEngines{eventPause: eventPause})
}

func newCrashFleetWith(t *testing.T, instances int, engines crashEngines) *crashFleet {
	lines := &keptLines{}
	small := &fleet{t: t, logs: lines}
	if engines.slowReports {
		small.prepare = func(i *Instance) { i.follower.minInterval = maxExchangeInterval }
	}
	f := &crashFleet{fleet: small.start(instances), engines: engines, tries: map[string]bool{}, lines: lines}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	t.Cleanup(func() { stop(); work.Wait() })
	for i := range engines.number() {
		work.Go(func() { f.engine(ctx, i) })
	}
	f.servers["e1"].Drain() // these two cannot end and are back
	f.servers["e2"].Drain()
	f.await("only engines that end in use", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			used := r.dir.Servers("llm")
			return len(used) != engines.number() || slices.ContainsFunc(used, func(s serving.Server) bool { return s.ID == "e1" || s.ID == "e2" })
		})
	})
	return f
}

// engine runs an engine that is back at its address after it has ended.
func (f *crashFleet) engine(ctx context.Context, i int) {
	address := net.JoinHostPort(standin.UniqueLoopbackIP(), "0")
	for start := 0; ctx.Err() == nil; start++ {
		id := fmt.Sprintf("c%d-%d", i, start)
		if f.engines.sameID {
			id = fmt.Sprintf("c%d", i)
		}
		s, err := standin.NewServerAt(address, standin.ServerParams{
			ID: id, Service: "llm", FailureDomain: "a", EventPause: f.engines.eventPause, Models: testModels, MemoryMB: testMemoryMB,
			AdapterSlots: testAdapterSlots, Loaded: []string{"m1"}, PoisonPrefix: poison, OmitSeal: f.engines.unsealed, CrashDelay: f.engines.endsAfter,
		})
		if err != nil {
			f.t.Errorf("engine: %v", err)
			return
		}
		address = s.Address()
		f.mu.Lock()
		f.starts = append(f.starts, s)
		f.mu.Unlock()
		announcing, silence := context.WithCancel(ctx)
		go s.Announce(announcing, f.store, testHeartbeat)
		select {
		case <-s.Ended():
			f.mu.Lock()
			f.ended = append(f.ended, time.Now())
			f.mu.Unlock()
		case <-ctx.Done():
			s.Stop()
		}
		silence()
		pause.For(ctx, lapseTime)
		if obj, err := f.store.Get(ctx, platform.PrefixServers+id); err == nil && !f.engines.sameID {
			_ = f.store.Delete(ctx, obj.Key, obj.Version)
		}
		pause.For(ctx, downTime-lapseTime)
	}
}

// send sends one request to a random instance, and returns how it ended.
func (f *crashFleet) send(ctx context.Context, id, body string) (status int, text string, err error) {
	f.mu.Lock()
	r := f.instances[rand.IntN(len(f.instances))]
	f.mu.Unlock()
	return f.sendTo(ctx, r, id, body)
}

// sendTo sends one request to an instance, and returns how it ended.
func (f *crashFleet) sendTo(ctx context.Context, r *running, id, body string) (status int, text string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/stream/x", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header = standin.ClientHeader(id, "m1", 5*time.Second)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read), err
}

// innocents sends requests that harm nobody, each its own, at a steady rate.
func (f *crashFleet) innocents(ctx context.Context) {
	var work sync.WaitGroup
	for n := 0; pause.For(ctx, innocentPause); n++ {
		work.Go(func() { f.innocent(ctx, fmt.Sprintf("innocent-%d", n)) })
	}
	work.Wait()
}

// innocent sends one request and counts how it ends. One that was refused or broke off is
// tried once more, as clients do.
func (f *crashFleet) innocent(ctx context.Context, body string) {
	served, refused := false, false
	for try := 0; try < 2 && !served; try++ {
		status, text, err := f.send(ctx, fmt.Sprintf("%s-%d", body, try), body)
		served = err == nil && status == http.StatusOK && text == wholeStream("m1")
		refused = refused || status == http.StatusBadRequest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return // the play has ended before
	}
	f.sent++
	if !served {
		f.failed++
	}
	if refused {
		f.refused++
	}
}

// repeat sends the poison again and again, whatever it is told.
func (f *crashFleet) repeat(ctx context.Context, client int) {
	for n := 0; pause.For(ctx, repeatPause); n++ {
		id := fmt.Sprintf("poison-%d-%d", client, n)
		f.mu.Lock()
		f.tries[id] = true
		f.mu.Unlock()
		_, _, _ = f.send(ctx, id, poison) // it comes again whatever it is told
	}
}

// play sends innocent requests, and has two clients repeat the poison, for so long while
// disturb runs.
func (f *crashFleet) play(length time.Duration, disturb func(ctx context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() { f.innocents(ctx) })
	for c := range 2 {
		work.Go(func() { f.repeat(ctx, c) })
	}
	work.Go(func() { disturb(ctx) })
	work.Wait()
}

// late counts the sends of the poison that reached an engine so long after the third had
// ended.
func (f *crashFleet) late() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ended) < enoughEnded {
		return 0
	}
	from, n := f.ended[enoughEnded-1].Add(knownAfter), 0
	for _, s := range f.starts {
		for _, a := range s.State().Arrivals {
			if f.tries[a.ID] && a.At.After(from) {
				n++
			}
		}
	}
	return n
}

// check compares with the bounds: at most mostEnded engines ended, and no more sends of the
// poison than lateAllowed after the word of it must have been everywhere.
func (f *crashFleet) check(lateAllowed int) {
	f.t.Helper()
	late := f.late()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d engines ended, %d late sends, %d of %d innocent requests failed, %d refused for good", len(f.ended), late, f.failed, f.sent, f.refused)
	if len(f.ended) > mostEnded {
		f.t.Errorf("%d engines ended under one request, want at most %d", len(f.ended), mostEnded)
	}
	if late > lateAllowed {
		f.t.Errorf("%d sends more than %s after the third engine had ended, want at most %d", late, knownAfter, lateAllowed)
	}
	if f.refused > 0 {
		f.t.Errorf("%d innocent requests were refused for good", f.refused)
	}
	if 20*f.failed > f.sent {
		f.t.Errorf("%d of %d innocent requests failed, want under 5 in 100", f.failed, f.sent)
	}
	f.t.Cleanup(f.logEnds)
}

// poisonFingerprint is that of the poison.
var poisonFingerprint = serving.FingerprintOf(&serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x", Body: []byte(poison)}, "")

// keptLines keeps the log lines that tell of ends of servers, and of requests under which some ended.
type keptLines struct {
	mu    sync.Mutex
	lines []string // guarded by mu
}

// mostLines bounds the lines kept.
const mostLines = 2000

// Write implements io.Writer, for one line a call.
func (k *keptLines) Write(line []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	tells := bytes.Contains(line, []byte("ended")) || bytes.Contains(line, []byte(poisonFingerprint))
	if tells && len(k.lines) < mostLines {
		k.lines = append(k.lines, string(line))
	}
	return len(line), nil
}

// logEnds logs, if the test has failed, which ends there were and which each instance knows.
func (f *crashFleet) logEnds() {
	if !f.t.Failed() {
		return
	}
	f.lines.mu.Lock()
	for _, line := range f.lines.lines {
		f.t.Log(strings.TrimSpace(line))
	}
	f.lines.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		for _, a := range s.State().Arrivals {
			if !strings.HasPrefix(a.ID, poison) {
				continue
			}
			f.t.Logf("%s: %s arrived at %s", s.Address(), a.ID, a.At.Format(time.StampMilli))
		}
	}
	for _, at := range f.ended {
		f.t.Logf("an engine ended at %s", at.Format(time.StampMilli))
	}
	for _, r := range f.instances {
		known, _ := r.quarantine.ledger.Record(poisonFingerprint, time.Now())
		f.t.Logf("%s knows %+v", r.follower.name, known)
	}
}
