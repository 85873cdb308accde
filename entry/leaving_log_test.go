package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
)

// TestLeavingIsLogged checks that the first update that a server is leaving is logged once, with its source and
// age.
func TestLeavingIsLogged(t *testing.T) {
	var logs bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logs)
	w := newTestWatcher(nil, directory.New(), log)
	now := time.Now()
	leaving := directory.Delta{Servers: []serving.Server{{ID: "e1", Service: "llm", Revision: 7, Draining: true}}, Revision: 7}
	for range 2 {
		w.applyHolderUpdate(holder.Update{Servers: leaving}, now.Add(-800*time.Millisecond), now)
	}
	if n := strings.Count(logs.String(), "server leaving"); n != 1 {
		t.Errorf("%d lines, want 1: %s", n, &logs)
	}
	for _, field := range []string{"server=e1", "source=holder", "revision=0.7", "servers_age_ms=800"} {
		if !strings.Contains(logs.String(), field) {
			t.Errorf("%s is missing: %s", field, &logs)
		}
	}
}

// TestServersAgeSinceStoreRead checks that the age of the servers counts from the time of the read of the store,
// not from the arrival of the update.
func TestServersAgeSinceStoreRead(t *testing.T) {
	w := newTestWatcher(nil, directory.New(), discardLog())
	now := time.Now()
	w.applyHolderUpdate(holder.Update{}, now.Add(-700*time.Millisecond), now)
	w.applyHolderUpdate(holder.Update{}, now.Add(-900*time.Millisecond), now)
	if age := w.prefixAge(platform.PrefixServers, now); age != 700*time.Millisecond {
		t.Errorf("age %s, want that of the newest update", age)
	}
	started := now.Add(-2 * watchWait)
	if confirmedAt := watchConfirmedAt(started, watchWait, now); !confirmedAt.Equal(started.Add(watchWait)) {
		t.Errorf("confirmed %s before, want %s", now.Sub(confirmedAt), now.Sub(started.Add(watchWait)))
	}
	if confirmedAt := watchConfirmedAt(started, watchWait, started.Add(watchWait/2)); !confirmedAt.Equal(started) {
		t.Error("a watch that ended early counts as confirmed for its full time")
	}
}
