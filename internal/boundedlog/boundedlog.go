// Package boundedlog writes log lines without ever making their writer wait.
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer passes lines on to another writer from a goroutine of its own. Lines
// that find the buffer full are dropped and counted, and the count is written
// as a line of its own as soon as there is room.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// New returns a Writer with a buffer of so many lines.
func New(to io.Writer, lines int) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case w.lines <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closing:
			w.rest()
			return
		}
	}
}

func (w *Writer) pass(line []byte) {
	_, _ = w.to.Write(line) // there is nowhere else to report to
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.to, "time=%q level=warning msg=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339), n)
	}
}

// rest writes what is buffered.
func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

// Close writes what is buffered, waiting at most for limit.
func (w *Writer) Close(limit time.Duration) {
	w.close.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
