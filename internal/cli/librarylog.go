package cli

import (
	"log"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// libraryLogInterval is the shortest time between two lines of libraries. What they report is caused by other processes, any
// number of times.
const libraryLogInterval = time.Second

// libraryLog writes what libraries report to the standard log as lines of another log, few of them. It leaves out what they quote:
// that may be the answer to somebody's request.
type libraryLog struct {
	to logrus.FieldLogger

	mu sync.Mutex
	// last is when the last line was written, and omitted the number of reports since then; guarded by mu.
	last    time.Time
	omitted int
}

// captureLibraryLog makes the standard log write to another log.
func captureLibraryLog(to logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(&libraryLog{to: to})
}

// Write implements io.Writer. It takes one report and never fails.
func (l *libraryLog) Write(report []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.last) < libraryLogInterval {
		l.omitted++
		return len(report), nil
	}
	text, _, _ := strings.Cut(string(report), `"`)
	l.to.WithFields(logrus.Fields{"text": strings.TrimSpace(text), "omitted": l.omitted}).Warn("report of a library")
	l.last, l.omitted = now, 0
	return len(report), nil
}
