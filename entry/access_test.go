package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// revokeBound is how long after it was taken away a key may work in these tests.
const revokeBound = 3 * time.Second

// newKeyedFleet starts n instances where requests need keys: w1 has k1 and k2, w2 has k3.
func newKeyedFleet(t *testing.T, n int, failClosed bool) *fleet {
	f := &fleet{t: t, workspaces: []standin.Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}}}
	f.change = func(s *platform.Settings) {
		s.Bounds.RevokeFailClosed, s.Bounds.RevokeMS = failClosed, int(revokeBound.Milliseconds())
		s.Bounds.QuotaWindowS, s.Bounds.QuotaOverage, s.Bounds.QuotaSlack = 4, 0.1, 2000
	}
	return f.start(n)
}

// arrived returns what servers were told of a request.
func (f *fleet) arrived(id string) (arrivals []standin.Arrival) {
	for _, s := range f.servers {
		for _, a := range s.State().Arrivals {
			if a.ID == id {
				arrivals = append(arrivals, a)
			}
		}
	}
	return arrivals
}

// TestKeys: a request runs as the workspace of its key, without the key, at each instance; and
// not without a key that is known.
func TestKeys(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	for _, r := range f.instances {
		for key, want := range map[string]string{"k1": "w1", "k2": "w1", "k3": "w2", "k4": "", "": ""} {
			a := f.askWith(r, "unsafe", "", key)
			arrivals := f.arrived(a.id)
			if want == "" {
				if a.status != http.StatusUnauthorized || len(arrivals) > 0 || strings.Contains(a.body, key) && key != "" {
					t.Errorf("key %q: status %d, %d arrivals, %q", key, a.status, len(arrivals), a.body)
				}
				continue
			}
			if a.status != http.StatusOK || len(arrivals) != 1 || arrivals[0].Workspace != want || arrivals[0].KeyTold {
				t.Errorf("key %q: status %d, %+v; want it to run as %s's", key, a.status, arrivals, want)
			}
		}
	}
}

// TestKeyTakenAway: a key that is taken away, or moved to another workspace, is treated so at
// all instances within moments, and one that is added works.
func TestKeyTakenAway(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2", "k5"}}}
	f.configure("stream", "unsafe", "safe")
	for _, r := range f.instances {
		f.await("the new configuration", func() bool { return f.askWith(r, "unsafe", "", "k5").status == http.StatusOK })
		if a := f.askWith(r, "unsafe", "", "k3"); a.status != http.StatusUnauthorized {
			t.Errorf("a key that was taken away: status %d", a.status)
		}
		if a := f.askWith(r, "unsafe", "", "k2"); a.status != http.StatusOK || f.arrived(a.id)[0].Workspace != "w2" {
			t.Errorf("a key that was moved: status %d, %+v", a.status, f.arrived(a.id))
		}
	}
}

// TestCutOffFailsClosed: while the store answers nobody no key works after the bound, and all
// work again once it is back; public routes are served throughout. Where revocation does not
// fail closed, keys go on working.
func TestCutOffFailsClosed(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	r := f.instances[1]
	f.await("served", func() bool { return f.askWith(r, "unsafe", "", "k1").status == http.StatusOK })
	f.store.SetDown(true)
	down := time.Now()
	for time.Since(down) < revokeBound+time.Second {
		sent := time.Now()
		a := f.askWith(r, "unsafe", "", "k1")
		if after := sent.Sub(down); after > revokeBound && (a.status != http.StatusServiceUnavailable || a.after == 0) {
			t.Fatalf("%s after the store was lost: status %d, come back after %s", after, a.status, a.after)
		}
		if unknown := f.askWith(r, "unsafe", "", "k9"); unknown.status == http.StatusUnauthorized && sent.Sub(down) > revokeBound {
			t.Fatal("refused for good though the key may be a new one")
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.store.SetDown(false)
	f.await("served again", func() bool { return f.askWith(r, "unsafe", "", "k1").status == http.StatusOK })
}

// TestCutOffFailsOpen: the same where an instance that is cut off is to go on.
func TestCutOffFailsOpen(t *testing.T) {
	f := newKeyedFleet(t, 1, false)
	f.await("served", func() bool { return f.askWith(f.instances[0], "unsafe", "", "k1").status == http.StatusOK })
	f.store.SetDown(true)
	time.Sleep(revokeBound + time.Second)
	if a := f.askWith(f.instances[0], "unsafe", "", "k1"); a.status != http.StatusOK {
		t.Errorf("status %d while the store is away", a.status)
	}
	if a := f.askWith(f.instances[0], "unsafe", "", "k9"); a.status != http.StatusServiceUnavailable {
		t.Errorf("a key that may be a new one: status %d", a.status)
	}
}

// TestUnreadableConfiguration: one that cannot be read leaves the one before in force. Its keys
// are not relied on for long then: some may have been taken away by what cannot be read.
func TestUnreadableConfiguration(t *testing.T) {
	f := newKeyedFleet(t, 1, true)
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w3", Keys: []string{"k1"}})
	f.configure("stream", "unsafe", "safe")
	f.await("keys not relied on", func() bool {
		return f.askWith(f.instances[0], "unsafe", "", "k2").status == http.StatusServiceUnavailable
	})
	f.workspaces = f.workspaces[:2]
	f.configure("stream", "unsafe", "safe")
	f.await("served again", func() bool { return f.askWith(f.instances[0], "unsafe", "", "k2").status == http.StatusOK })
}

// TestLimitOverInstances: what is let run of a workspace at all instances together stays within
// the deployment's bound, a good part of its limit is let run, and another workspace is not
// touched.
func TestLimitOverInstances(t *testing.T) {
	f := newKeyedFleet(t, 3, true)
	const rate = 2000.0 // ten requests a second that do not say their size
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"k1"}, Rate: rate, Burst: rate}, {Name: "w2", Keys: []string{"k3"}, Rate: rate, Burst: rate}}
	f.configure("stream", "unsafe", "safe")
	f.await("a holder", func() bool { return f.holder() != nil })
	f.await("the limit in force", func() bool { return f.askWith(f.instances[2], "unsafe", "", "k2").status == http.StatusUnauthorized })
	const length = 8 * time.Second
	var work sync.WaitGroup
	var mu sync.Mutex
	var runs []time.Time
	limited, others, refusedOthers := 0, 0, 0
	began := time.Now()
	for _, r := range f.instances {
		work.Go(func() {
			for n := 0; time.Since(began) < length; n++ {
				a := f.askWith(r, "unsafe", "", "k1")
				var other answer
				if n%20 == 0 {
					other = f.askWith(r, "unsafe", "", "k3")
				}
				mu.Lock()
				switch a.status {
				case http.StatusOK:
					for _, arrival := range f.arrived(a.id) {
						runs = append(runs, arrival.At)
					}
				case http.StatusTooManyRequests:
					limited++
				}
				if n%20 == 0 {
					others++
					if other.status != http.StatusOK {
						refusedOthers++
						t.Logf("another workspace's request %s after the start: status %d, %s", time.Since(began), other.status, other.body)
					}
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	work.Wait()
	const window, bound = 4 * time.Second, (rate*4+rate)*1.1 + 2000
	worst := 0
	for _, from := range runs {
		n := 0
		for _, at := range runs {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		worst = max(worst, n)
	}
	t.Logf("%d ran, %d at most within %s, %d refused for the limit; of the other workspace %d, %d refused", len(runs), worst, window, limited, others, refusedOthers)
	if got := float64(worst) * 200; got > bound {
		t.Errorf("%.0f tokens ran within %s, the bound is %.0f", got, window, float64(bound))
	}
	if got := float64(len(runs)) * 200; got < 0.7*rate*length.Seconds() {
		t.Errorf("%.0f tokens ran in %s, the limit is %.0f a second", got, length, float64(rate))
	}
	if limited == 0 {
		t.Error("nothing was refused: nothing was tested")
	}
	if refusedOthers > 0 {
		t.Errorf("%d of %d requests of another workspace were refused", refusedOthers, others)
	}
}

// TestWordOfConfiguration: what a watch hears makes the configuration in force current as of when
// it asked, and not while a newer one could not be read.
func TestWordOfConfiguration(t *testing.T) {
	w := newTestWatcher(nil, directory.New(), discardLog())
	config := standin.Config{Version: 1, Workspaces: []standin.Workspace{{Name: "w", Keys: []string{"k"}}}}
	asOf := clock.Now()
	apply := func(c standin.Config, asked time.Time) {
		value, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		w.applyConfig(store.Snapshot{Objects: []store.Object{{Key: platform.KeyConfig, Version: store.RevisionOf(0, c.Version), Value: value}}}, false)
		w.confirmConfig(asked)
	}
	apply(config, asOf)
	if _, got := w.dir.Current(); !got.Equal(asOf) {
		t.Errorf("current as of %s, want %s", got, asOf)
	}
	doubled := config
	doubled.Version, doubled.Workspaces = 2, append(doubled.Workspaces, doubled.Workspaces...)
	apply(doubled, asOf.Add(time.Second))
	w.confirmConfig(asOf.Add(2 * time.Second)) // nothing new was heard
	if c, got := w.dir.Current(); !got.Equal(asOf) || c.Version != 1 {
		t.Errorf("version %d, current as of %s after it", c.Version, got.Sub(asOf))
	}
	config.Version = 3
	apply(config, asOf.Add(3*time.Second))
	if c, got := w.dir.Current(); !got.Equal(asOf.Add(3*time.Second)) || c.Version != 3 {
		t.Errorf("version %d, current as of %s after it", c.Version, got.Sub(asOf))
	}
}

// TestKeysNotLogged: no line has a key, whatever is done with it.
func TestKeysNotLogged(t *testing.T) {
	f := newKeyedFleet(t, 1, true)
	r := f.instances[0]
	var lines lockedText
	r.log.SetOutput(&lines)
	r.log.SetLevel(logrus.TraceLevel)
	defer r.log.SetOutput(io.Discard)
	const secret = "not-to-be-seen"
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w3", Keys: []string{secret}})
	f.configure("stream", "unsafe", "safe")
	f.await("served", func() bool { return f.askWith(r, "unsafe", "", secret).status == http.StatusOK })
	_ = f.askWith(r, "unsafe", "", secret+"-unknown")
	_ = f.askWith(r, "nowhere", "", secret)
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w4", Keys: []string{secret}})
	f.configure("stream", "unsafe", "safe")
	f.await("an error about it", func() bool { return strings.Contains(lines.String(), "configuration cannot be read") })
	if text := lines.String(); strings.Contains(text, secret) || !strings.Contains(text, "unauthorized") {
		t.Errorf("the log has the key, or nothing: %s", text)
	}
}

// lockedText is text that is written at any time.
type lockedText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestListWorkspaces: operators see at any instance what a workspace asks for at all of them
// against its limit, and no key.
func TestListWorkspaces(t *testing.T) {
	f := &fleet{t: t, options: Options{OperatorsPort: testOperatorsPort}}
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"hidden"}, Rate: 1000, Burst: 1000}, {Name: "w2"}}
	f.start(2)
	f.await("a holder", func() bool { return f.holder() != nil })
	for range 20 {
		f.askWith(f.instances[0], "unsafe", "", "hidden")
	}
	r := f.instances[1]
	var got *martenportv1.ListWorkspacesResponse
	f.await("the totals", func() bool {
		list, err := operatorsOf(r).ListWorkspaces(t.Context(), connect.NewRequest(&martenportv1.ListWorkspacesRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		got = list.Msg
		return got.TotalsKnown && len(got.Workspaces) == 2 && got.Workspaces[0].Asked == 20*200
	})
	w := got.Workspaces[0]
	if w.Name != "w1" || w.Keys != 1 || w.Rate != 1000 || w.Unit != unitTokens || w.Refused == 0 || w.AskedHere != 0 {
		t.Errorf("%+v", w)
	}
	if strings.Contains(got.String(), "hidden") || !got.KeysTrusted || got.ConfigVersion == 0 {
		t.Errorf("%v", got)
	}
}
