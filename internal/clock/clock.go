// Package clock tells the time by which an instance judges how old what it believes is.
//
// A machine may be suspended for seconds. The steady clock, by which time.Now measures and
// timers run, does not count that time: a lease that was renewed before would look good, and
// the word of others new. Times of this package go on while the machine is suspended. They
// are compared with each other alone: what the time package has to act on, such as timers and
// deadlines of connections, gets durations or times of its own.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time. It looks each lookInterval whether the machine was suspended.
func Now() time.Time {
	now := time.Now()
	if now.Sub(start).Nanoseconds()-looked.Load() >= lookInterval.Nanoseconds() {
		look()
	}
	return now.Add(time.Duration(suspended.Load()))
}

// Exact returns the time and looks at once whether the machine was suspended. What may be
// done only in a certain time, such as ordering under a lease, asks for it.
func Exact() time.Time {
	look()
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Since returns the time since t, which Now or Exact returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is a duration after what Now or Exact returned.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

const (
	// lookInterval is how old the look may be: a look takes about 0.7 us, and requests ask
	// for the time some twenty times each.
	lookInterval = 5 * time.Millisecond
	// leastSuspension is the shortest time taken for one. The two clocks are not read at the
	// same instant.
	leastSuspension = 50 * time.Millisecond
	// mostReading is how long reading both may take to say anything.
	mostReading = 10 * time.Millisecond
	// readTries is how often they are read before the look is given up.
	readTries = 3
)

var (
	start = time.Now()
	// looked is when the clocks were last read, in nanoseconds since start.
	looked atomic.Int64
	// suspended is for how long the machine has been suspended since start, in nanoseconds.
	suspended atomic.Int64
	// first is by how much the clock that counts suspensions was ahead at the start, in
	// nanoseconds.
	first atomic.Int64
	// ahead is the function that reads that; tests replace it.
	ahead atomic.Pointer[func() (time.Duration, bool)]
)

func init() { begin(readAhead) }

// begin has suspensions be counted from now on, as a function reads the clocks.
func begin(read func() (time.Duration, bool)) {
	d, _ := read()
	first.Store(d.Nanoseconds())
	suspended.Store(0)
	ahead.Store(&read)
}

// look notes whether the machine was suspended.
func look() {
	looked.Store(time.Since(start).Nanoseconds())
	read := ahead.Load()
	for range readTries {
		now, ok := (*read)()
		if !ok {
			continue
		}
		known := suspended.Load()
		if total := now.Nanoseconds() - first.Load(); total-known >= leastSuspension.Nanoseconds() {
			suspended.CompareAndSwap(known, total)
		}
		return
	}
}

// readAhead returns by how much the clock that counts suspensions is ahead of the steady one.
// ok is false if reading them took too long.
func readAhead() (d time.Duration, ok bool) {
	before, boot, after := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
	return boot - before, after-before < mostReading
}

func read(id int32) time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(id, &t) // these clocks are always there
	return time.Duration(t.Nano())
}

// Replace has the difference of the two clocks be read by a function, until the returned one
// is called. It is for tests, which cannot suspend the machine.
func Replace(read func() (time.Duration, bool)) (restore func()) {
	begin(read)
	return func() { begin(readAhead) }
}
