package entry

import (
	"testing"
	"time"
)

// TestPeersOfNewHolder: a new holder that hears from fewer does not make the shares of
// those it hears from larger, as long as the others may only be cut off from it.
func TestPeersOfNewHolder(t *testing.T) {
	var p peers
	now := time.Unix(1000, 0)
	for _, told := range []struct {
		after time.Duration
		n     int
		want  int
	}{
		{0, 0, 0}, // nobody has said how many
		{time.Second, 6, 6},
		{time.Second, 0, 6}, // a holder that has just taken over
		{time.Second, 4, 6}, // it does not hear from two
		{time.Second, 7, 7}, // one was added
		{peersMemory - 5*time.Second, 4, 7},
		{peersMemory, 4, 7},
		{peersMemory, 4, 4}, // the others are gone
	} {
		now = now.Add(told.after)
		if got := p.heard(told.n, now); got != told.want {
			t.Errorf("%d after being told %d, want %d", got, told.n, told.want)
		}
	}
}
