package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

// TestScaleUpOnLongBurst checks that a load of twice the capacity of one replica adds
// replicas up to the declared maximum if it lasts, and none if it is over before a
// load would have finished.
func TestScaleUpOnLongBurst(t *testing.T) {
	for _, c := range []struct {
		span time.Duration
		want int
	}{{3 * time.Second, 1}, {20 * time.Second, 2}} {
		t.Run(c.span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shape := small
				shape.models = captionModel("1", 2)
				f := newTestFleet(t, shape)
				defer f.close()
				if _, err := f.nodes[0].generate("caption", "warm", time.Minute); err != nil {
					t.Fatal(err)
				}
				stop := time.Now().Add(c.span)
				for i := 0; time.Now().Before(stop); i++ {
					go func() {
						_, _ = f.nodes[i%len(f.nodes)].generateAs(&martenportv1.GenerateRequest{
							Model: "caption", Prompt: fmt.Sprint(i), MaxTokens: overloadTokens, TimeoutMs: 5000, Idempotent: true,
						})
					}()
					time.Sleep(time.Second / (2 * overloadCapacity))
				}
				time.Sleep(20 * time.Second)
				if n := f.loads(); n != c.want {
					t.Errorf("%d loads, want %d", n, c.want)
				}
				f.checkCounts()
			})
		})
	}
}
