// Package boundedlog writes log lines without ever blocking the logging goroutine.
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer forwards lines to another writer from its own goroutine. Lines that arrive while the
// buffer is full are dropped and counted; the count is written as a separate line as soon as the
// underlying writer accepts lines again.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// New returns a Writer with a buffer for the given number of lines.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line, never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line) // an error cannot be reported anywhere
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%q level=warning msg=\"log lines dropped\" lines=%d\n", time.Now().Format(time.RFC3339), n)
	}
}

// flush writes the buffered lines.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// Close writes the buffered lines and stops the Writer. It waits for at most limit.
func (w *Writer) Close(limit time.Duration) {
	w.close.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
