// Package clock provides the time by which an instance judges the age of its information.
//
// A machine may be suspended for seconds. The monotonic clock that time.Now and timers use does not
// count that time: a lease that was renewed before the suspension would still look valid, and
// reports of other instances recent. The times of this package include suspensions. They may only
// be compared with each other: timers, connection deadlines and whatever else the time package acts
// on get durations or times of time.Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time. It checks for a suspension if the last check is older than
// checkInterval.
func Now() time.Time {
	now := time.Now()
	if now.Sub(start).Nanoseconds()-lastCheck.Load() >= checkInterval.Nanoseconds() {
		checkSuspension()
	}
	return now.Add(time.Duration(suspended.Load()))
}

// Exact returns the current time after an immediate check for a suspension. It is meant for actions
// that are only permitted for a limited time, such as ordering under a lease.
func Exact() time.Time {
	checkSuspension()
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Since returns the time elapsed since t, which Now or Exact returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which was computed from a result of Now or Exact.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

const (
	// checkInterval is the maximum age of the last check: a check takes about 0.7 us, and each
	// request reads the time some twenty times.
	checkInterval = 5 * time.Millisecond
	// minSuspension is the shortest difference that counts as a suspension, since the two clocks
	// are not read at the same instant.
	minSuspension = 50 * time.Millisecond
	// maxReadTime is the longest time that reading both clocks may take for the result to be used.
	maxReadTime = 10 * time.Millisecond
	// maxReadAttempts is how often the clocks are read before a check is abandoned.
	maxReadAttempts = 3
)

var (
	start = time.Now()
	// lastCheck is when the clocks were last read, in nanoseconds since start.
	lastCheck atomic.Int64
	// suspended is the total time that the machine has been suspended since start, in nanoseconds.
	suspended atomic.Int64
	// baseOffset is the offset between the two clocks at the start, in nanoseconds.
	baseOffset atomic.Int64
	// offsetReader is the function that reads that offset; tests replace it.
	offsetReader atomic.Pointer[func() (time.Duration, bool)]
)

func init() { reset(readOffset) }

// reset counts suspensions from now on, with the given function as the reader of the clocks'
// offset.
func reset(read func() (time.Duration, bool)) {
	d, _ := read()
	baseOffset.Store(d.Nanoseconds())
	suspended.Store(0)
	offsetReader.Store(&read)
}

// checkSuspension updates suspended from the offset between the two clocks.
func checkSuspension() {
	lastCheck.Store(time.Since(start).Nanoseconds())
	reader := offsetReader.Load()
	for range maxReadAttempts {
		offset, ok := (*reader)()
		if !ok {
			continue
		}
		known := suspended.Load()
		if total := offset.Nanoseconds() - baseOffset.Load(); total-known >= minSuspension.Nanoseconds() {
			suspended.CompareAndSwap(known, total)
		}
		return
	}
}

// readOffset returns how far the clock that counts suspensions is ahead of the monotonic one. ok is
// false if reading them took too long.
func readOffset() (d time.Duration, ok bool) {
	before, boot, after := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME),
		readClock(unix.CLOCK_MONOTONIC)
	return boot - before, after-before < maxReadTime
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(id, &t) // cannot fail: these clocks always exist
	return time.Duration(t.Nano())
}

// ReplaceOffsetReader sets the function that reads the offset between the two clocks, until the
// returned function is called. It is for tests, which cannot suspend the machine.
func ReplaceOffsetReader(read func() (time.Duration, bool)) (restore func()) {
	reset(read)
	return func() { reset(readOffset) }
}
