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

// crashFleet is a fleet whose engines crash when they begin to run the poison request, and restart.
type crashFleet struct {
	*fleet
	engines crashEngineParams
	log     *crashLog
	// mu also guards the list of instances while some are replaced.
	mu sync.Mutex
	// starts contains all starts of engines, crashedAt the times of their crashes; guarded by mu.
	starts    []*standin.Server
	crashedAt []time.Time
	// poisonAttempts contains the ids of the attempts of the poison request; guarded by mu.
	poisonAttempts map[string]bool
	// sent counts harmless requests, failed those that were not served despite a retry, and wronglyRefused those
	// that were refused as quarantined; guarded by mu.
	sent, failed, wronglyRefused int
}

// crashEngineParams determine the number of engines, how they crash, and how often instances report.
type crashEngineParams struct {
	// eventPause is the pause between the events of a stream.
	eventPause time.Duration
	// sameID: restarted engines have the id of the previous start, and their store entries stay.
	sameID bool
	// count is the number of engines, defaultCrashEngines if 0.
	count int
	// slowReports: instances report to the holder as seldom as in a large fleet.
	slowReports bool
	// crashDelay is the time between the cut-off of the answer to the poison request and the crash.
	crashDelay time.Duration
	// withoutBody: the poison request and the harmless ones are GET requests without a body, told apart by their path.
	withoutBody bool
	// poisonPart is the ID of a prompt part that crashes engines; none if empty.
	poisonPart string
	// omitSeal: engines answer the poison request with headers without a seal before they crash.
	omitSeal bool
}

func (e crashEngineParams) number() int { return cmp.Or(e.count, defaultCrashEngines) }

// defaultCrashEngines is the default number of engines that crash.
const defaultCrashEngines = 6

// newCrashFleet starts instances and defaultCrashEngines engines, all of which have loaded m1.
func newCrashFleet(t *testing.T, instances int, eventPause time.Duration) *crashFleet {
	return newCrashFleetWith(t, instances, crashEngineParams{eventPause: eventPause})
}

func newCrashFleetWith(t *testing.T, instances int, engines crashEngineParams) *crashFleet {
	log := &crashLog{}
	base := &fleet{t: t, logOutput: log}
	if engines.slowReports {
		base.beforeRun = func(i *Instance) { i.follower.minInterval = maxExchangeInterval }
	}
	f := &crashFleet{fleet: base.start(instances), engines: engines, poisonAttempts: map[string]bool{}, log: log}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	t.Cleanup(func() { stop(); work.Wait() })
	for i := range engines.number() {
		work.Go(func() { f.runEngine(ctx, i) })
	}
	f.servers["e1"].Drain() // these two engines of the base fleet do not crash
	f.servers["e2"].Drain()
	f.await("only crashing engines in use", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool {
			used := r.dir.Servers("llm")
			return len(used) != engines.number() || slices.ContainsFunc(used, func(s serving.Server) bool { return s.ID == "e1" || s.ID == "e2" })
		})
	})
	return f
}

// runEngine runs an engine that restarts at the same address after each crash.
func (f *crashFleet) runEngine(ctx context.Context, i int) {
	address := net.JoinHostPort(standin.UniqueLoopbackIP(), "0")
	for start := 0; ctx.Err() == nil; start++ {
		id := fmt.Sprintf("c%d-%d", i, start)
		if f.engines.sameID {
			id = fmt.Sprintf("c%d", i)
		}
		s, err := standin.NewServerAt(address, standin.ServerParams{
			ID: id, Service: "llm", FailureDomain: "a", EventPause: f.engines.eventPause, Models: testModels, MemoryMB: testMemoryMB,
			AdapterSlots: testAdapterSlots, Loaded: []string{"m1"},
			PoisonPrefix: poison, PoisonPart: f.engines.poisonPart, OmitSeal: f.engines.omitSeal, CrashDelay: f.engines.crashDelay,
		})
		if err != nil {
			f.t.Errorf("engine: %v", err)
			return
		}
		address = s.Address()
		f.mu.Lock()
		f.starts = append(f.starts, s)
		f.mu.Unlock()
		announcing, stopAnnouncing := context.WithCancel(ctx)
		go s.Announce(announcing, f.store, testHeartbeat)
		select {
		case <-s.Ended():
			f.mu.Lock()
			f.crashedAt = append(f.crashedAt, time.Now())
			f.mu.Unlock()
		case <-ctx.Done():
			s.Stop()
		}
		stopAnnouncing()
		pause.For(ctx, entryRetention)
		if obj, err := f.store.Get(ctx, platform.PrefixServers+id); err == nil && !f.engines.sameID {
			_ = f.store.Delete(ctx, obj.Key, obj.Version)
		}
		pause.For(ctx, engineDownTime-entryRetention)
	}
}

// send sends a request to a random instance and returns the outcome.
func (f *crashFleet) send(ctx context.Context, id, body string) (status int, text string, err error) {
	f.mu.Lock()
	r := f.instances[rand.IntN(len(f.instances))]
	f.mu.Unlock()
	return f.sendTo(ctx, r, id, body)
}

// sendTo sends a request to an instance and returns the outcome.
func (f *crashFleet) sendTo(ctx context.Context, r *running, id, body string) (status int, text string, err error) {
	req, err := f.newRequest(ctx, r, body)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header = standin.ClientHeader(id, "m1", 5*time.Second)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: randomClientIP()}}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read), err
}

// newRequest returns a request with the given body, or one without a body that has it as the last segment of its path.
func (f *crashFleet) newRequest(ctx context.Context, r *running, body string) (*http.Request, error) {
	target := "http://" + r.address + "/stream/"
	if f.engines.withoutBody {
		return http.NewRequestWithContext(ctx, http.MethodGet, target+body, nil)
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, target+"x", strings.NewReader(body))
}

// clientIPCount is the number of addresses that clients have.
const clientIPCount = 16

// randomClientIP returns the address of one of the clients.
func randomClientIP() net.IP { return net.IPv4(127, 1, 0, byte(1+rand.IntN(clientIPCount))) }

// sendHarmless sends harmless requests at a steady rate until ctx is done: different ones, and one that all clients send.
func (f *crashFleet) sendHarmless(ctx context.Context) {
	var work sync.WaitGroup
	for n := 0; pause.For(ctx, harmlessInterval); n++ {
		id := fmt.Sprintf("innocent-%d", n)
		body := id
		if n%commonEvery == 0 {
			body = "common"
		}
		work.Go(func() { f.sendHarmlessOnce(ctx, id, body) })
	}
	work.Wait()
}

// commonEvery is the ratio of all harmless requests to the one that all clients send.
const commonEvery = 4

// sendHarmlessOnce sends a request and counts its outcome. A request that was refused or cut off is retried once,
// as clients do.
func (f *crashFleet) sendHarmlessOnce(ctx context.Context, id, body string) {
	served, refused := false, false
	for attempt := 0; attempt < 2 && !served; attempt++ {
		status, text, err := f.send(ctx, fmt.Sprintf("%s-%d", id, attempt), body)
		served = err == nil && status == http.StatusOK && text == wholeStream("m1")
		refused = refused || status == http.StatusBadRequest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return // the load ended before the answer
	}
	f.sent++
	if !served {
		f.failed++
	}
	if refused {
		f.wronglyRefused++
	}
}

// repeatPoison sends the poison request repeatedly, whatever the answer, until ctx is done.
func (f *crashFleet) repeatPoison(ctx context.Context, client int) {
	for n := 0; pause.For(ctx, poisonInterval); n++ {
		id := fmt.Sprintf("poison-%d-%d", client, n)
		f.mu.Lock()
		f.poisonAttempts[id] = true
		f.mu.Unlock()
		_, _, _ = f.send(ctx, id, poison)
	}
}

// runLoad sends harmless requests, and the poison request from two clients, for the given time while disturb runs.
func (f *crashFleet) runLoad(duration time.Duration, disturb func(ctx context.Context)) {
	ctx, stop := context.WithTimeout(context.Background(), duration)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() { f.sendHarmless(ctx) })
	for c := range 2 {
		work.Go(func() { f.repeatPoison(ctx, c) })
	}
	work.Go(func() { disturb(ctx) })
	work.Wait()
}

// lateAttempts counts the late attempts: those of the poison request that reached an engine more than
// propagationBound after crash number crashesToQuarantine.
func (f *crashFleet) lateAttempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashedAt) < crashesToQuarantine {
		return 0
	}
	from, n := f.crashedAt[crashesToQuarantine-1].Add(propagationBound), 0
	for _, s := range f.starts {
		for _, a := range s.State().Arrivals {
			if f.poisonAttempts[a.ID] && a.At.After(from) {
				n++
			}
		}
	}
	return n
}

// check compares the results with the bounds: at most maxCrashes engines crashed, at most lateAllowed late
// attempts, no harmless request refused, and under 5% of them failed.
func (f *crashFleet) check(lateAllowed int) {
	f.t.Helper()
	late := f.lateAttempts()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d engines crashed, %d late attempts, %d of %d harmless requests failed, %d refused as quarantined",
		len(f.crashedAt), late, f.failed, f.sent, f.wronglyRefused)
	if len(f.crashedAt) > maxCrashes {
		f.t.Errorf("%d engines crashed under one request, want at most %d", len(f.crashedAt), maxCrashes)
	}
	if late > lateAllowed {
		f.t.Errorf("%d attempts more than %s after the third crash, want at most %d", late, propagationBound, lateAllowed)
	}
	if f.wronglyRefused > 0 {
		f.t.Errorf("%d harmless requests were refused as quarantined", f.wronglyRefused)
	}
	if 20*f.failed > f.sent {
		f.t.Errorf("%d of %d harmless requests failed, want under 5%%", f.failed, f.sent)
	}
	f.t.Cleanup(f.logCrashes)
}

// poisonFingerprint is the fingerprint of the poison request.
var poisonFingerprint = serving.FingerprintOf(&serving.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream/x", Body: []byte(poison)})

// crashLog keeps the log lines about crashes of servers and about the poison request.
type crashLog struct {
	mu    sync.Mutex
	lines []string // guarded by mu
}

// maxCrashLogLines is the maximum number of lines kept.
const maxCrashLogLines = 2000

// Write implements io.Writer. Each call writes one line.
func (l *crashLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	relevant := bytes.Contains(line, []byte("ended")) || bytes.Contains(line, []byte(poisonFingerprint)) || bytes.Contains(line, []byte("/"+poison))
	if relevant && len(l.lines) < maxCrashLogLines {
		l.lines = append(l.lines, string(line))
	}
	return len(line), nil
}

// logCrashes logs, if the test failed, the crashes and what each instance has recorded of the poison request.
func (f *crashFleet) logCrashes() {
	if !f.t.Failed() {
		return
	}
	f.log.mu.Lock()
	for _, line := range f.log.lines {
		f.t.Log(strings.TrimSpace(line))
	}
	f.log.mu.Unlock()
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
	for _, at := range f.crashedAt {
		f.t.Logf("an engine crashed at %s", at.Format(time.StampMilli))
	}
	for _, r := range f.instances {
		known, _ := r.quarantine.ledger.Record(poisonFingerprint, time.Now())
		f.t.Logf("%s has recorded %+v", r.follower.name, known)
	}
}
