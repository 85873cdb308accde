package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer // guarded by mu
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestNeverBlocks checks that a blocked reader of the log does not block the goroutines that log,
// and that dropped lines are counted and reported.
func TestNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out, 4)
	for range 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() < 95 {
		t.Errorf("%d lines dropped of 100 with a buffer of 4", w.Dropped())
	}
	close(out.release)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.written.String(); !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < 4 {
		t.Errorf("written: %q", text)
	}
}
