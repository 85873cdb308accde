package skew

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"
)

// TestWindowIsRestored guards against origins that an archive loses or changes: what was added within a period is found in a
// new table under its version, also after it was archived twice.
func TestWindowIsRestored(t *testing.T) {
	w, now := &Window{}, start
	add := func(attempt, version string) { w.Add(Entry{attempt, Origin{Service: "s", Version: version}}, now) }
	add("old", "v1")
	now = now.Add(windowPeriod)
	add("a", "v1")
	add("b", "v2")
	now = now.Add(windowPeriod)
	add("c", "v2")
	table := NewOrigins()
	for range 2 {
		digests, changed := w.Snapshot(now)
		if !changed {
			t.Error("nothing to archive")
		}
		text, err := json.Marshal(digests)
		if err != nil {
			t.Fatal(err)
		}
		var read Digests
		if err := json.Unmarshal(text, &read); err != nil {
			t.Fatal(err)
		}
		table, w = NewOrigins(), &Window{}
		if n := read.Restore(table, w, now); n != 3 {
			t.Errorf("%d origins restored, want 3", n)
		}
	}
	for attempt, version := range map[string]string{"a": "v1", "b": "v2", "c": "v2", "old": ""} {
		if got, _ := table.Find(attempt, now); got.Version != version {
			t.Errorf("%s began at %q, want %q", attempt, got.Version, version)
		}
	}
	if _, changed := w.Snapshot(now); !changed {
		t.Error("what was restored is not archived again")
	}
	if digests, changed := w.Snapshot(now.Add(2 * windowPeriod)); changed || len(digests) > 0 {
		t.Errorf("%v after two periods, changed %v", digests, changed)
	}
}

// TestWindowIsBounded guards against archives that grow with the attempts of clients.
func TestWindowIsBounded(t *testing.T) {
	var w Window
	for n := range 2 * maxPerPeriod {
		w.Add(Entry{strconv.Itoa(n), Origin{Service: "s", Version: "v1"}}, start)
	}
	digests, _ := w.Snapshot(start)
	if n := len(digests["s"]["v1"]); n != maxPerPeriod*len(attemptKey{}) {
		t.Errorf("%d bytes, want %d origins", n, maxPerPeriod)
	}
	if n := (Digests{"s": {"v1": make([]byte, 20)}}).Restore(NewOrigins(), &Window{}, time.Time{}); n != 1 {
		t.Errorf("%d origins restored of one and a part", n)
	}
}

// TestUnarchivedOriginsPileUp guards against origins that are held for as long as the store takes no writes, and are then written
// all at once.
func TestUnarchivedOriginsPileUp(t *testing.T) {
	const perPeriod, periods = 100, 20
	w, now := &Window{}, start
	for n := range perPeriod * periods {
		w.Add(Entry{strconv.Itoa(n), Origin{Service: "s", Version: "v1"}}, now)
		now = now.Add(windowPeriod / perPeriod)
		if n%3 == 0 {
			w.Snapshot(now)
		} else {
			w.Recent()
		}
		w.MarkChanged()
	}
	recent, _ := w.Recent()
	n := len(recent["s"]["v1"]) / len(attemptKey{})
	if n < perPeriod || n > 2*perPeriod+1 {
		t.Errorf("%d new origins of %d are held, want those of the last one to two periods, %d each", n, perPeriod*periods, perPeriod)
	}
}

// BenchmarkWindowSnapshot: what an archive write costs that has 1,000 origins.
func BenchmarkWindowSnapshot(b *testing.B) {
	var w Window
	for n := range 1000 {
		w.Add(Entry{strconv.Itoa(n), Origin{Service: "s", Version: "v1"}}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		digests, _ := w.Snapshot(start)
		text, err := json.Marshal(digests)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(text)))
	}
}
