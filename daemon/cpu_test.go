package daemon

import (
	"syscall"
	"testing"
	"time"
)

// processorTime returns the user and system CPU time used by this process so far.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
