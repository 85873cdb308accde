package brittle

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBegin measures the admission of a request to a server that is not brittle.
func BenchmarkBegin(b *testing.B) {
	g := NewGate("a", newFakeKeepers(), func() int { return 79 })
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		g.Begin("s").End(Accepted, now)
	}
}

// BenchmarkSemaphore measures what a permit takes at the instance that keeps the semaphore, with 16 requests in flight.
func BenchmarkSemaphore(b *testing.B) {
	server := Server{ID: "s", Slots: 16, Tolerated: 4}
	s := NewSemaphore(server, true)
	permit := func(n int) Permit { return Permit{Instance: fmt.Sprint("i", n%79), Number: uint64(n)} }
	request := func(n int) Request { return Request{Permit: permit(n), Server: server} }
	n := 0
	for ; s.Acquire(b.Context(), request(n)).Granted; n++ {
		s.Accept(permit(n))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Release(permit(n-1), Accepted)
		s.Acquire(b.Context(), request(n-1))
	}
}
