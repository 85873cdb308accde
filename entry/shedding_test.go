package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/command/overload"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// shedForHours makes an instance shed connections, and close them, regardless of its lag.
func (s *connShedder) shedForHours() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.shedder = overload.NewShedder(overload.ShedderParams{MinDuration: time.Hour, MaxDuration: time.Hour}, now)
	s.shedder.Update(time.Second, time.Millisecond, now)
}

// TestShedderFollowsLag checks that an instance whose pauses take too long for its shortest objective becomes unready and
// closes connections for a bounded time, that one without objectives never does, and that the lease holder does so
// earlier.
func TestShedderFollowsLag(t *testing.T) {
	const objective = 400 * time.Millisecond
	for _, c := range []struct {
		name      string
		objective time.Duration
		holder    bool
		delay     time.Duration
		sheds     bool
	}{
		{"lagging", objective, false, 60 * time.Millisecond, true}, {"a little", objective, false, 30 * time.Millisecond, false},
		{"a little, holder", objective, true, 30 * time.Millisecond, true}, {"no objectives", 0, true, 500 * time.Millisecond, false},
	} {
		log, hook := logtest.NewNullLogger()
		config := &serving.Config{Routes: []serving.Route{{Objective: c.objective}, {Objective: 10 * c.objective}, {}}}
		s := newConnShedder(func() *serving.Config { return config }, func() bool { return c.holder }, 0, metrics.NewSet(), log)
		at, shedFor, steady := clock.Now(), time.Duration(0), lagSampleInterval+c.delay
		for range 10 * time.Minute / steady {
			at = at.Add(steady)
			s.observe(at, steady)
			if s.active() {
				shedFor += steady
			}
		}
		if (shedFor > 0) != c.sheds || shedFor > 70*time.Second {
			t.Errorf("%s: shed for %s of ten minutes, want some: %t", c.name, shedFor, c.sheds)
		}
		if lines := len(hook.AllEntries()); (lines > 0) != c.sheds || lines > 40 {
			t.Errorf("%s: %d lines of transitions", c.name, lines)
		}
	}
}

// TestShedderWithoutConfig checks that an instance that has no configuration yet does not shed.
func TestShedderWithoutConfig(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	s := newConnShedder(func() *serving.Config { return nil }, func() bool { return false }, 0, metrics.NewSet(), log)
	at := clock.Now()
	for range 1000 {
		at = at.Add(time.Second / 2)
		s.observe(at, time.Second/2)
	}
	if s.active() {
		t.Error("shedding without a configuration")
	}
}

// TestHolderKilledWhileShedding checks that an instance that sheds connections is unready, serves the requests that it
// reads and asks their clients to connect elsewhere, and goes on holding the lease. If it then ends, its successor
// holds the lease and is ready.
func TestHolderKilledWhileShedding(t *testing.T) {
	f := newFleet(t, 2)
	f.await("a holder", func() bool { return f.holder() != nil })
	shedding := f.holder()
	shedding.shedding.shedForHours()
	probe := httptest.NewRecorder()
	shedding.serveReady(probe, nil)
	if probe.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness %d while shedding", probe.Code)
	}
	for range 5 {
		resp, err := http.Post("http://"+shedding.address+"/unsafe/x", "text/plain", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if !resp.Close {
			t.Error("the client is not asked to connect elsewhere")
		}
		if a := f.request(shedding, "unsafe", ""); a.status != http.StatusOK {
			t.Errorf("%+v, want requests to be served", a)
		}
	}
	if !shedding.holder.Holds() {
		t.Error("the lease was given up")
	}
	shedding.kill()
	f.await("a successor", func() bool { h := f.holder(); return h != nil && h != shedding })
	if h := f.holder(); !h.Ready() {
		t.Error("the successor is not ready")
	}
	f.checkServerInvariants()
}

// TestStopWhileShedding checks that an instance that sheds connections stops as any other: a stream in progress is
// completed.
func TestStopWhileShedding(t *testing.T) {
	f := newFleet(t, 2)
	r := f.instances[0]
	r.shedding.shedForHours()
	ended := make(chan answer, 1)
	go func() { ended <- f.request(r, "stream", "m1") }()
	f.await("the stream runs", func() bool { return len(f.servers["e1"].Runs())+len(f.servers["e2"].Runs()) > 0 })
	r.stop()
	if a := <-ended; a.body != wholeStream("m1") {
		t.Errorf("a stream was cut off: %+v", a)
	}
	<-r.done
	if r.Ready() {
		t.Error("ready after it has stopped")
	}
}
