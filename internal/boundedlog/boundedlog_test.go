package boundedlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}

	mu  sync.Mutex
	got bytes.Buffer // guarded by mu
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// TestNeverBlocks: a reader that does not read holds nobody up; what was dropped
// is counted and said.
func TestNeverBlocks(t *testing.T) {
	to := &blockedWriter{release: make(chan struct{})}
	w := New(to, 4)
	for range 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() < 95 {
		t.Errorf("%d lines dropped of 100 with a buffer of 4", w.Dropped())
	}
	close(to.release)
	w.Close(10 * time.Second)
	to.mu.Lock()
	defer to.mu.Unlock()
	if text := to.got.String(); !strings.Contains(text, "log lines dropped") || strings.Count(text, "line\n") < 4 {
		t.Errorf("written: %q", text)
	}
}
