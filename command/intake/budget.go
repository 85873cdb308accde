// Package intake bounds what requests take while they arrive and are served, over all requests of a process: their memory, and
// for how long those that do not progress keep their connections.
package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// CheckInterval is how often the owner of a Budget calls Check. Progress is measured in checks, so that the time in which the
// process was suspended does not count.
const CheckInterval = 250 * time.Millisecond

const (
	// freeBytes of each request are not charged, so that small requests are read however full the budget is. The number of
	// connections bounds their sum.
	freeBytes = 8 << 10
	// slowBytes is the progress within a check, in bytes, below which a request is slow, and slowChecks how many such checks in
	// a row make it yield to others: a lost packet or two delay a request for less.
	slowBytes, slowChecks = 1 << 10, 8
	// A request that has been arriving for graceChecks ends unless it has progressed by minBytes a check on average, about 1 KB a
	// second after half a minute.
	minBytes, graceChecks = 256, 120
)

// Cause states why a request is not read any further.
type Cause string

// The causes.
const (
	// CauseMemory: there is no room for the request, or for others beside it.
	CauseMemory Cause = "memory"
	// CauseConnections: the request does not progress, and its connection is needed.
	CauseConnections Cause = "connections"
	// CauseShutdown: the request does not progress, and the process is shutting down.
	CauseShutdown Cause = "shutdown"
	// CauseSlow: the request progresses more slowly than any client inside the limits.
	CauseSlow Cause = "slow"
)

// Error is the reason why a request is not read any further. Nothing of it has been sent to a server.
type Error struct{ Cause Cause }

// Error implements error.
func (e *Error) Error() string { return "intake: the request is not read: " + string(e.Cause) }

// Refused describes a request that is not read any further.
type Refused struct {
	Cause Cause
	// Bytes is the memory of the request, and Arrived what has arrived of it, in bytes.
	Bytes, Arrived int64
	// Age is for how long it has been arriving, without the time in which the process was suspended.
	Age time.Duration
	// Used is the memory of all requests at that time, in bytes.
	Used int64
}

// Budget bounds the memory of the requests of a process. It is charged with what has arrived, not with what is announced. If it is
// exhausted, requests that arrive slowly yield to others; if there are none, the request that needs more is refused, so that no two
// wait for each other. A larger request leaves more of the budget free than a smaller one. It is safe for concurrent use.
type Budget struct {
	// most is the limit that SetLargest does not exceed.
	share, most int64
	onRefused   func(Refused)

	mu    sync.Mutex
	limit int64                 // guarded by mu
	used  int64                 // guarded by mu
	open  map[*Holding]struct{} // guarded by mu
}

// NewBudget returns a Budget of share bytes, or up to most bytes if a single request of the largest size needs them. onRefused
// is called with each request that is refused; it must not block or call the Budget.
func NewBudget(share, most int64, onRefused func(Refused)) *Budget {
	return &Budget{share: share, most: max(share, most), onRefused: onRefused, limit: share, open: map[*Holding]struct{}{}}
}

// largestShares is how many times its size a single request needs: one and a half times while its buffer doubles, and the part of the
// budget that it leaves free.
const largestShares = 2

// SetLargest sets the size of the largest request in bytes, which is read even if it exceeds the share, and reports whether there
// is room for one.
func (b *Budget) SetLargest(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = min(max(b.share, largestShares*size), b.most)
	return largestShares*size <= b.most
}

// Used returns the memory of all requests beyond what is not charged, in bytes, and the number of requests.
func (b *Budget) Used() (bytes int64, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.open)
}

// Begin returns the holding of a request that begins to arrive. interrupt ends a read that waits for more of the request; it must
// not call the Budget. Release must be called.
func (b *Budget) Begin(interrupt func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holding{budget: b, interrupt: interrupt, arriving: true}
	b.open[h] = struct{}{}
	return h
}

// Check measures the progress of all requests and ends those that have been arriving too slowly for too long.
func (b *Budget) Check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.open {
		if h.arriving && !h.check() {
			b.refuse(h, CauseSlow)
		}
	}
}

// EndSlow ends the request that has been slow for longest, and reports whether there was one.
func (b *Budget) EndSlow(cause Cause) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.slow(func(h, other *Holding) bool { return h.slow > other.slow })
	if h == nil {
		return false
	}
	b.refuse(h, cause)
	return true
}

// slow returns the slow request that yields before all others; nil if there is none. b.mu must be held.
func (b *Budget) slow(before func(h, other *Holding) bool) *Holding {
	var first *Holding
	for h := range b.open {
		if h.arriving && h.slow >= slowChecks && (first == nil || before(h, first)) {
			first = h
		}
	}
	return first
}

// charge charges n more bytes to h. b.mu must be held.
func (b *Budget) charge(h *Holding, n int64) error {
	if h.refused != "" {
		return &Error{h.refused}
	}
	for !b.fits(h, n) {
		other := b.slow(func(h, other *Holding) bool { return h.charged > other.charged })
		if other == nil || other == h || other.charged == 0 {
			b.refuse(h, CauseMemory)
			return &Error{CauseMemory}
		}
		b.refuse(other, CauseMemory)
	}
	b.setBytes(h, h.bytes+n)
	return nil
}

// reserveShare is the largest part of the budget that a request leaves free.
const reserveShare = 4

// fits reports whether there is room for n more bytes of h. b.mu must be held.
func (b *Budget) fits(h *Holding, n int64) bool {
	charged := max(0, h.bytes+n-freeBytes)
	if charged == 0 {
		return true
	}
	return b.used-h.charged+charged+min(charged, b.limit/reserveShare) <= b.limit
}

// setBytes sets the memory of h unless it has been released. b.mu must be held.
func (b *Budget) setBytes(h *Holding, bytes int64) {
	if _, open := b.open[h]; !open {
		return
	}
	b.used -= h.charged
	h.bytes, h.charged = bytes, max(0, bytes-freeBytes)
	b.used += h.charged
}

// refuse ends the reading of h. Its memory counts as free at once: nothing refers to it once its reader is interrupted. b.mu must
// be held.
func (b *Budget) refuse(h *Holding, cause Cause) {
	b.onRefused(Refused{Cause: cause, Bytes: h.bytes, Arrived: h.arrived.Load(), Age: time.Duration(h.checks) * CheckInterval, Used: b.used})
	h.refused, h.arriving = cause, false
	b.setBytes(h, 0)
	h.interrupt()
}

// Holding is what one request takes. Its methods are safe for concurrent use.
type Holding struct {
	budget    *Budget
	interrupt func()
	// arrived is the number of bytes that have arrived.
	arrived atomic.Int64

	// The fields below are guarded by budget.mu.

	// bytes is the memory of the request, and charged the part of it that is charged.
	bytes, charged int64
	// arriving is whether the request has not arrived as a whole and has not been refused.
	arriving bool
	refused  Cause
	// checks is the number of checks since it began, slow the number of the last ones without progress, and checked the bytes that
	// had arrived at the last one.
	checks, slow int
	checked      int64
}

// check records the progress since the last check, and reports whether it suffices.
func (h *Holding) check() bool {
	arrived := h.arrived.Load()
	h.checks++
	if h.slow++; arrived-h.checked >= slowBytes {
		h.slow = 0
	}
	h.checked = arrived
	return h.checks < graceChecks || arrived >= int64(h.checks)*minBytes
}

// Charge charges the request with n more bytes of memory before they are used. The error is an *Error.
func (h *Holding) Charge(n int64) error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.charge(h, n)
}

// Discharge records that n bytes of the request's memory are not used any more.
func (h *Holding) Discharge(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.refused == "" {
		h.budget.setBytes(h, h.bytes-n)
	}
}

// Progress records that n more bytes have arrived.
func (h *Holding) Progress(n int) { h.arrived.Add(int64(n)) }

// Err returns an *Error if the request has been refused.
func (h *Holding) Err() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.refused == "" {
		return nil
	}
	return &Error{h.refused}
}

// Complete records that the request has arrived as a whole, so that it does not yield any more. It returns an *Error if it has been
// refused.
func (h *Holding) Complete() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.refused != "" {
		return &Error{h.refused}
	}
	h.arriving = false
	return nil
}

// setArriving records whether more of the request is awaited, unless it has been refused.
func (h *Holding) setArriving(arriving bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.refused == "" {
		h.arriving = arriving
	}
}

// Release ends the holding: the request takes no memory any more.
func (h *Holding) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.arriving = false
	h.budget.setBytes(h, 0)
	delete(h.budget.open, h)
}
