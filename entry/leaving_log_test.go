package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// TestLeavingIsLogged: the first word that a server leaves is logged with its source and age.
func TestLeavingIsLogged(t *testing.T) {
	var logs bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logs)
	w := &watcher{dir: directory.New(), news: make(chan struct{}, 1), log: log}
	now := time.Now()
	leaving := directory.Delta{Servers: []serving.Server{{ID: "e1", Service: "llm", Revision: 7, Draining: true}}, Revision: 7}
	for range 2 {
		w.relay(holder.News{Servers: leaving}, now.Add(-800*time.Millisecond), now, time.Second)
	}
	if n := strings.Count(logs.String(), "server leaving"); n != 1 {
		t.Errorf("%d lines, want 1: %s", n, &logs)
	}
	for _, field := range []string{"server=e1", "source=holder", "revision=7", "servers_age_ms=800"} {
		if !strings.Contains(logs.String(), field) {
			t.Errorf("%s is missing: %s", field, &logs)
		}
	}
}

// TestServersAgeIsTheStores: words count from when the store said so, not from when they came.
func TestServersAgeIsTheStores(t *testing.T) {
	w := &watcher{dir: directory.New(), news: make(chan struct{}, 1), log: logrus.New()}
	now := time.Now()
	w.relay(holder.News{}, now.Add(-700*time.Millisecond), now, time.Second)
	w.relay(holder.News{}, now.Add(-900*time.Millisecond), now, time.Second)
	if age := w.serversAge(now); age != 700*time.Millisecond {
		t.Errorf("%s old, want the age of the newest word", age)
	}
	started := now.Add(-2 * watchWait)
	for held, want := range map[bool]time.Time{true: started.Add(watchWait), false: started} {
		if asOf := answeredAsOf(started, now, held); !asOf.Equal(want) {
			t.Errorf("held without events: %v, as of %s before, want %s", held, now.Sub(asOf), now.Sub(want))
		}
	}
	if asOf := answeredAsOf(started, started.Add(watchWait/2), true); !asOf.Equal(started) {
		t.Error("a watch that ended before its time counts as held")
	}
}
