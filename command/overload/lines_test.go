package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLinesAccounted: each event is either written or counted as left out, and no window has more than its lines of a
// key, also when the clock jumps.
func TestLinesAccounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perWindow = 3
		l, now := NewLineLimiter[int](perWindow, time.Second), time.Unix(1000, 0)
		events, accounted, inWindow := map[int]int{}, map[int]int{}, map[int]int{}
		var windowEnd time.Time
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(50*time.Millisecond), int64(400*time.Millisecond)).Draw(t, "gap")))
			key := rapid.IntRange(0, 2).Draw(t, "key")
			events[key]++
			allowed := l.Allow(key, now)
			if end := l.WindowEnd(); !end.Equal(windowEnd) {
				windowEnd = end
				clear(inWindow)
			}
			if allowed {
				accounted[key]++
				inWindow[key]++
			}
			if inWindow[key] > perWindow {
				t.Fatalf("%d lines of key %d in one window", inWindow[key], key)
			}
			if rapid.Bool().Draw(t, "take") {
				for k, n := range l.TakeOmitted() {
					accounted[k] += n
				}
			}
		}
		for k, n := range l.TakeOmitted() {
			accounted[k] += n
		}
		for k, n := range events {
			if accounted[k] != n {
				t.Fatalf("%d of %d events of key %d accounted for", accounted[k], n, k)
			}
		}
	})
}
