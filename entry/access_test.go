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

// revokeBound is the maximum time for which a revoked key still works in these tests.
const revokeBound = 3 * time.Second

// newKeyedFleet starts n instances that require keys: k1 and k2 belong to workspace w1, k3 to w2. failClosed sets
// revokeFailClosed.
func newKeyedFleet(t *testing.T, n int, failClosed bool) *fleet {
	f := &fleet{t: t, workspaces: []standin.Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}}}
	f.editSettings = func(s *platform.Settings) {
		s.Bounds.RevokeFailClosed, s.Bounds.RevokeMS = failClosed, int(revokeBound.Milliseconds())
		s.Bounds.QuotaWindowS, s.Bounds.QuotaOverage, s.Bounds.QuotaSlack = 4, 0.1, 2000
	}
	return f.start(n)
}

// arrivalsOf returns the arrivals of an attempt at all servers.
func (f *fleet) arrivalsOf(id string) (arrivals []standin.Arrival) {
	for _, s := range f.servers {
		for _, a := range s.State().Arrivals {
			if a.ID == id {
				arrivals = append(arrivals, a)
			}
		}
	}
	return arrivals
}

// TestKeys checks that each instance runs a request as the workspace of its key, does not pass the key on to the
// server, and refuses requests without a known key.
func TestKeys(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	for _, r := range f.instances {
		for key, want := range map[string]string{"k1": "w1", "k2": "w1", "k3": "w2", "k4": "", "": ""} {
			a := f.requestWithKey(r, "unsafe", "", key)
			arrivals := f.arrivalsOf(a.id)
			if want == "" {
				if a.status != http.StatusUnauthorized || len(arrivals) > 0 || strings.Contains(a.body, key) && key != "" {
					t.Errorf("key %q: status %d, %d arrivals, %q", key, a.status, len(arrivals), a.body)
				}
				continue
			}
			if a.status != http.StatusOK || len(arrivals) != 1 || arrivals[0].Workspace != want || arrivals[0].KeyTold {
				t.Errorf("key %q: status %d, arrivals %+v; want it to run in workspace %s", key, a.status, arrivals, want)
			}
		}
	}
}

// TestRevokedKey checks that all instances refuse a revoked key, use the new workspace of a moved key, and accept
// an added key soon after the configuration changed.
func TestRevokedKey(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2", "k5"}}}
	f.configure("stream", "unsafe", "safe")
	for _, r := range f.instances {
		f.await("the new configuration", func() bool { return f.requestWithKey(r, "unsafe", "", "k5").status == http.StatusOK })
		if a := f.requestWithKey(r, "unsafe", "", "k3"); a.status != http.StatusUnauthorized {
			t.Errorf("revoked key: status %d", a.status)
		}
		if a := f.requestWithKey(r, "unsafe", "", "k2"); a.status != http.StatusOK || f.arrivalsOf(a.id)[0].Workspace != "w2" {
			t.Errorf("moved key: status %d, arrivals %+v", a.status, f.arrivalsOf(a.id))
		}
	}
}

// TestStoreOutageFailsClosed checks that during an outage of the store no key is accepted once revokeBound has
// passed, and that keys are accepted again after it. Unknown keys are then refused with a retryable status, since
// they may be new.
func TestStoreOutageFailsClosed(t *testing.T) {
	f := newKeyedFleet(t, 2, true)
	r := f.instances[1]
	f.await("served", func() bool { return f.requestWithKey(r, "unsafe", "", "k1").status == http.StatusOK })
	f.store.SetDown(true)
	down := time.Now()
	for time.Since(down) < revokeBound+time.Second {
		sent := time.Now()
		a := f.requestWithKey(r, "unsafe", "", "k1")
		if after := sent.Sub(down); after > revokeBound && (a.status != http.StatusServiceUnavailable || a.retryAfter == 0) {
			t.Fatalf("%s after the store was lost: status %d, Retry-After %s", after, a.status, a.retryAfter)
		}
		if unknown := f.requestWithKey(r, "unsafe", "", "k9"); unknown.status == http.StatusUnauthorized && sent.Sub(down) > revokeBound {
			t.Fatal("unknown key refused with 401, though it may be new")
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.store.SetDown(false)
	f.await("served again", func() bool { return f.requestWithKey(r, "unsafe", "", "k1").status == http.StatusOK })
}

// TestStoreOutageFailsOpen checks that without revokeFailClosed known keys are accepted throughout an outage of the
// store, and unknown ones are refused with a retryable status.
func TestStoreOutageFailsOpen(t *testing.T) {
	f := newKeyedFleet(t, 1, false)
	f.await("served", func() bool { return f.requestWithKey(f.instances[0], "unsafe", "", "k1").status == http.StatusOK })
	f.store.SetDown(true)
	time.Sleep(revokeBound + time.Second)
	if a := f.requestWithKey(f.instances[0], "unsafe", "", "k1"); a.status != http.StatusOK {
		t.Errorf("status %d during the outage of the store", a.status)
	}
	if a := f.requestWithKey(f.instances[0], "unsafe", "", "k9"); a.status != http.StatusServiceUnavailable {
		t.Errorf("unknown key that may be new: status %d", a.status)
	}
}

// TestInvalidConfiguration checks that a configuration that cannot be decoded leaves the previous one in force, and
// that its keys are accepted only for a limited time: the invalid one may have revoked some of them.
func TestInvalidConfiguration(t *testing.T) {
	f := newKeyedFleet(t, 1, true)
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w3", Keys: []string{"k1"}})
	f.configure("stream", "unsafe", "safe")
	f.await("keys are no longer accepted", func() bool {
		return f.requestWithKey(f.instances[0], "unsafe", "", "k2").status == http.StatusServiceUnavailable
	})
	f.workspaces = f.workspaces[:2]
	f.configure("stream", "unsafe", "safe")
	f.await("served again", func() bool { return f.requestWithKey(f.instances[0], "unsafe", "", "k2").status == http.StatusOK })
}

// TestLimitAcrossInstances checks that the requests of a workspace at all instances together stay within its limit
// and the configured overage, that at least 70% of the limit is used, and that another workspace is not affected.
func TestLimitAcrossInstances(t *testing.T) {
	f := newKeyedFleet(t, 3, true)
	const rate = 2000.0 // 10 requests per second without a token count
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"k1"}, Rate: rate, Burst: rate}, {Name: "w2", Keys: []string{"k3"}, Rate: rate, Burst: rate}}
	f.configure("stream", "unsafe", "safe")
	f.await("a holder", func() bool { return f.holder() != nil })
	f.await("the limit in force", func() bool {
		return f.requestWithKey(f.instances[2], "unsafe", "", "k2").status == http.StatusUnauthorized
	})
	const length = 8 * time.Second
	var work sync.WaitGroup
	var mu sync.Mutex
	var runs []time.Time
	limited, otherSent, otherRefused := 0, 0, 0
	began := time.Now()
	for _, r := range f.instances {
		work.Go(func() {
			for n := 0; time.Since(began) < length; n++ {
				a := f.requestWithKey(r, "unsafe", "", "k1")
				var other answer
				if n%20 == 0 {
					other = f.requestWithKey(r, "unsafe", "", "k3")
				}
				mu.Lock()
				switch a.status {
				case http.StatusOK:
					for _, arrival := range f.arrivalsOf(a.id) {
						runs = append(runs, arrival.At)
					}
				case http.StatusTooManyRequests:
					limited++
				}
				if n%20 == 0 {
					otherSent++
					if other.status != http.StatusOK {
						otherRefused++
						t.Logf("another workspace's request %s after the start: status %d, %s",
							time.Since(began), other.status, other.body)
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
	t.Logf("%d ran, at most %d within %s, %d refused for the limit; other workspace: %d sent, %d refused",
		len(runs), worst, window, limited, otherSent, otherRefused)
	if got := float64(worst) * 200; got > bound {
		t.Errorf("%.0f tokens within %s, the bound is %.0f", got, window, float64(bound))
	}
	if got := float64(len(runs)) * 200; got < 0.7*rate*length.Seconds() {
		t.Errorf("%.0f tokens in %s, the limit is %.0f per second", got, length, float64(rate))
	}
	if limited == 0 {
		t.Error("no request was refused: the limit was not tested")
	}
	if otherRefused > 0 {
		t.Errorf("%d of %d requests of another workspace were refused", otherRefused, otherSent)
	}
}

// TestConfigurationConfirmedAt checks that the configuration in force is confirmed as of the time at which the
// watch was sent, and not while a newer one could not be decoded.
func TestConfigurationConfirmedAt(t *testing.T) {
	w := newTestWatcher(nil, directory.New(), discardLog())
	config := standin.Config{Version: 1, Workspaces: []standin.Workspace{{Name: "w", Keys: []string{"k"}}}}
	confirmedAt := clock.Now()
	apply := func(c standin.Config, asked time.Time) {
		value, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		w.applyConfig(store.Snapshot{Objects: []store.Object{{Key: platform.KeyConfig, Version: store.RevisionOf(0, c.Version), Value: value}}}, false)
		w.confirmConfig(asked)
	}
	apply(config, confirmedAt)
	if _, got := w.dir.Current(); !got.Equal(confirmedAt) {
		t.Errorf("confirmed at %s, want %s", got, confirmedAt)
	}
	duplicated := config
	duplicated.Version, duplicated.Workspaces = 2, append(duplicated.Workspaces, duplicated.Workspaces...)
	apply(duplicated, confirmedAt.Add(time.Second))
	w.confirmConfig(confirmedAt.Add(2 * time.Second)) // no change was received
	if c, got := w.dir.Current(); !got.Equal(confirmedAt) || c.Version != 1 {
		t.Errorf("version %d, confirmed %s after the first one", c.Version, got.Sub(confirmedAt))
	}
	config.Version = 3
	apply(config, confirmedAt.Add(3*time.Second))
	if c, got := w.dir.Current(); !got.Equal(confirmedAt.Add(3*time.Second)) || c.Version != 3 {
		t.Errorf("version %d, confirmed %s after the first one", c.Version, got.Sub(confirmedAt))
	}
}

// TestKeysNotLogged checks that no log line contains a key, whether it is known, unknown, used on an unknown route
// or listed twice.
func TestKeysNotLogged(t *testing.T) {
	f := newKeyedFleet(t, 1, true)
	r := f.instances[0]
	var lines syncBuffer
	r.log.SetOutput(&lines)
	r.log.SetLevel(logrus.TraceLevel)
	defer r.log.SetOutput(io.Discard)
	const secret = "not-to-be-seen"
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w3", Keys: []string{secret}})
	f.configure("stream", "unsafe", "safe")
	f.await("served", func() bool { return f.requestWithKey(r, "unsafe", "", secret).status == http.StatusOK })
	_ = f.requestWithKey(r, "unsafe", "", secret+"-unknown")
	_ = f.requestWithKey(r, "nowhere", "", secret)
	f.workspaces = append(f.workspaces, standin.Workspace{Name: "w4", Keys: []string{secret}})
	f.configure("stream", "unsafe", "safe")
	f.await("an error about it", func() bool { return strings.Contains(lines.String(), "configuration cannot be read") })
	if text := lines.String(); strings.Contains(text, secret) || !strings.Contains(text, "unauthorized") {
		t.Errorf("the log contains the key, or lacks the refusal: %s", text)
	}
}

// syncBuffer is a text buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestListWorkspaces checks that the operators' API of each instance shows the demand of a workspace at all
// instances and its limit, and no keys.
func TestListWorkspaces(t *testing.T) {
	f := &fleet{t: t, options: Options{OperatorsPort: testOperatorsPort}}
	f.workspaces = []standin.Workspace{{Name: "w1", Keys: []string{"hidden"}, Rate: 1000, Burst: 1000}, {Name: "w2"}}
	f.start(2)
	f.await("a holder", func() bool { return f.holder() != nil })
	for range 20 {
		f.requestWithKey(f.instances[0], "unsafe", "", "hidden")
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
