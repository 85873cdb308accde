package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestUnmarkedVersionIsForgottenByAll guards against streams that go on at another version after all instances were killed, since
// neither marks nor origins could be written while their own version served, which has left.
func TestUnmarkedVersionIsForgottenByAll(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration // of a write; 0 if writes are refused
		alone bool          // no engine of the marked version serves
	}{
		"writes are refused":                      {},
		"writes are slow, one version has models": {delay: 1500 * time.Millisecond, alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			var disturbed, refusing atomic.Bool
			lines := &syncBuffer{}
			f := &versionFleet{lines: lines, fleet: &fleet{t: t, logOutput: lines, wrapStore: func(h http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if disturbed.Load() && r.Method != http.MethodGet && (strings.Contains(r.URL.Path, prefixVersions) || strings.Contains(r.URL.Path, prefixOrigins)) {
						time.Sleep(c.delay)
						if refusing.Load() {
							w.WriteHeader(http.StatusServiceUnavailable)
							return
						}
					}
					h.ServeHTTP(w, r)
				})
			}}}
			f.start(3)
			f.begin("v1")
			f.await("certain", func() bool {
				return !slices.ContainsFunc(f.instances, func(r *running) bool { return !r.marks.certain() }) && strings.Contains(markOf(t, f.store, "llm"), "v1")
			})
			refusing.Store(c.delay == 0)
			disturbed.Store(true)
			if c.alone {
				f.removeServer("v0")
			}
			f.addVersion("v2", "v2", "m1")
			var begun []attempt
			f.await("streams of v2", func() bool {
				a := attempt{id: newAttemptID(), leaveAfter: 3}
				if slices.Contains(f.send(f.randomInstance(), a).versions, "v2") {
					begun = append(begun, a)
				}
				return len(begun) == 6
			})
			refusing.Store(true) // writes on their way are lost with the instances
			f.replaceInstances((*running).kill, func() {
				disturbed.Store(false)
				f.removeServer("v2")
				if c.alone {
					f.addVersion("back", "v1", "m1")
				}
			})
			f.awaitServers(1)
			joined := 0
			for _, a := range begun {
				if got := f.send(f.randomInstance(), attempt{id: newAttemptID(), lastEvent: 3, resumes: a.id}); slices.Contains(got.versions, "v1") {
					joined++
				}
			}
			if joined > 0 {
				t.Errorf("%d of %d streams of v2 went on at v1", joined, len(begun))
			}
		})
	}
}
