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

// TestLeavingIsLogged: the first word that a server leaves is logged with its source and age.
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

// TestServersAgeIsTheStores: words count from when the store said so, not from when they came.
func TestServersAgeIsTheStores(t *testing.T) {
	w := newTestWatcher(nil, directory.New(), discardLog())
	now := time.Now()
	w.applyHolderUpdate(holder.Update{}, now.Add(-700*time.Millisecond), now)
	w.applyHolderUpdate(holder.Update{}, now.Add(-900*time.Millisecond), now)
	if age := w.prefixAge(platform.PrefixServers, now); age != 700*time.Millisecond {
		t.Errorf("%s old, want the age of the newest word", age)
	}
	started := now.Add(-2 * watchWait)
	if asOf := watchConfirmedAt(started, watchWait, now); !asOf.Equal(started.Add(watchWait)) {
		t.Errorf("as of %s before, want %s", now.Sub(asOf), now.Sub(started.Add(watchWait)))
	}
	if asOf := watchConfirmedAt(started, watchWait, started.Add(watchWait/2)); !asOf.Equal(started) {
		t.Error("a watch that ended before its time counts as held")
	}
}
