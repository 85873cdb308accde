package forward

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestBodyWithoutEndTakesProcessor guards against bodies that are relayed as fast as they come, so that a server whose bodies
// have no end takes the processor from all other requests.
func TestBodyWithoutEndTakesProcessor(t *testing.T) {
	const size = 32 << 20
	body := strings.Repeat("x", size)
	for name, c := range map[string]struct {
		size    int
		fastest time.Duration
	}{
		"usual size":           {size / 4, 0},
		"beyond any plausible": {size, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, begun := newFixture(t, reply{status: http.StatusOK, body: body[:c.size]}), time.Now()
				w, failure := f.serve("unsafe", "", time.Minute)
				took := time.Since(begun)
				if failure != nil || w.Body.Len() != c.size {
					t.Errorf("%d of %d bytes relayed, %v", w.Body.Len(), c.size, failure)
				}
				if took < c.fastest || c.fastest == 0 && took > 0 {
					t.Errorf("%d bytes relayed in %v, want %v or more", c.size, took, c.fastest)
				}
			})
		})
	}
}
