package skew

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestRecent guards against streams that are not handed over, or handed over twice, once their service has a second version.
func TestRecent(t *testing.T) {
	var r Recent
	add := func(attempt, service string, at time.Time) {
		r.Add(Entry{attempt, Origin{Service: service, Version: "v1"}}, at)
	}
	now := start.Add(Lifetime)
	add("old", "a", start)
	add("first", "a", now)
	add("other", "b", now)
	add("second", "a", now)
	add(strings.Repeat("x", maxAttemptLength+1), "a", now)
	if origin, held := r.Find("second"); !held || origin.Service != "a" {
		t.Errorf("found %v, %t", origin, held)
	}
	if _, held := r.Find("third"); held {
		t.Error("found a stream that was not added")
	}
	attempts := func(service string) (list []string) {
		for _, e := range r.Take(service, now) {
			list = append(list, e.Attempt)
		}
		return list
	}
	if got := attempts("a"); !slices.Equal(got, []string{"first", "second"}) {
		t.Errorf("took %v", got)
	}
	if got := attempts("a"); len(got) > 0 {
		t.Errorf("took %v again", got)
	}
	if got := attempts("b"); !slices.Equal(got, []string{"other"}) {
		t.Errorf("took %v of the other service", got)
	}
	for n := range maxRecent + 10 {
		add(strconv.Itoa(n), "a", now)
	}
	if got := attempts("a"); len(got) != maxRecent || got[0] != "10" || got[maxRecent-1] != strconv.Itoa(maxRecent+9) {
		t.Errorf("took %d, want the last %d in order", len(got), maxRecent)
	}
}

// BenchmarkRecentAdd: what the beginning of a stream costs while its service has one software version.
func BenchmarkRecentAdd(b *testing.B) {
	var r Recent
	e := Entry{"9c41d07be2a35f68", Origin{Service: "dele69a", Version: "v1"}}
	b.ReportAllocs()
	for b.Loop() {
		r.Add(e, start)
	}
}
