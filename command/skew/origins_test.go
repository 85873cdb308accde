package skew

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestOriginNeverChanges guards against a stream that goes on at another version than it began at: whatever is found for
// an attempt is what was recorded first, and it is found for Lifetime.
func TestOriginNeverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, now := NewOrigins(), start
		first, recordedAt := map[string]Origin{}, map[string]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
			if rapid.Bool().Draw(t, "record") {
				origin := Origin{Service: "s", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				if _, known := o.Find(attempt, now); !known {
					first[attempt], recordedAt[attempt] = origin, now
				}
				o.Record(attempt, origin, now)
			}
			found, known := o.Find(attempt, now)
			at, recorded := recordedAt[attempt]
			if known && found != first[attempt] {
				t.Fatalf("%s began at %v, found %v", attempt, first[attempt], found)
			}
			if recorded && !known && now.Sub(at) < Lifetime {
				t.Fatalf("%s forgotten after %v", attempt, now.Sub(at))
			}
			if known && now.Sub(at) > 4*Lifetime {
				t.Fatalf("%s known after %v", attempt, now.Sub(at))
			}
		}
	})
}

// TestOriginsAreBounded guards against memory that grows with the attempts of clients.
func TestOriginsAreBounded(t *testing.T) {
	o := NewOrigins()
	for i := range 5 * maxOrigins / 2 {
		o.Record(strconv.Itoa(i), Origin{Service: "s", Version: "v1"}, start.Add(time.Duration(i)*time.Microsecond))
	}
	if n := o.Len(); n > 2*maxOrigins {
		t.Errorf("%d origins", n)
	}
	if _, known := o.Find(strconv.Itoa(5*maxOrigins/2-1), start.Add(time.Second)); !known {
		t.Error("the latest origin is not known")
	}
}
