package weights

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/verdict"
)

// TestStreamsGrantedByDeadline: streams are granted by deadline, earliest first.
func TestStreamsGrantedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(DefaultParams())
		var (
			mu    sync.Mutex
			order []string
			all   sync.WaitGroup
		)
		for _, minutes := range []int{30, 10, 20} {
			all.Go(func() {
				r := Request{Engine: "e", Unit: fmt.Sprint(minutes), Bytes: 1, Latest: time.Now().Add(time.Duration(minutes) * time.Minute)}
				if err := g.Acquire(t.Context(), r); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, r.Unit)
			})
			synctest.Wait()
		}
		for range 3 {
			g.Update(Streams{Share: 1, Allowed: 1}, func(string, string) State { return Finished }, time.Now())
			synctest.Wait()
		}
		all.Wait()
		if !slices.Equal(order, []string{"10", "20", "30"}) {
			t.Errorf("streams granted in order %v, want 10, 20, 30", order)
		}
	})
}

// TestLateLoadsAreRefused: when the store has become slow, loads that cannot finish in time are refused at once with a
// retry delay of at least the load time; other loads wait.
func TestLateLoadsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(DefaultParams())
		for range maxSpeeds {
			g.runLoad(t, 100, 100*time.Second)
		}
		errs := make(chan error, 2)
		for _, limit := range []time.Duration{time.Minute, 10 * time.Minute} {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				errs <- g.Acquire(ctx, Request{Engine: "e", Unit: limit.String(), Bytes: 100, Latest: time.Now().Add(limit)})
			}()
		}
		synctest.Wait()
		g.Update(Streams{}, nil, time.Now())
		synctest.Wait()
		if f := verdict.FromError(<-errs); f.Verdict != verdict.NotRun || f.RetryAfter < 100*time.Second {
			t.Errorf("%+v, want a refusal with a retry delay of at least 100 s", f)
		}
		if n := g.Waiting(); n != 1 {
			t.Errorf("%d loads wait, want 1", n)
		}
		g.Update(Streams{Share: 1, Allowed: 1}, func(string, string) State { return Loading }, time.Now())
		if err := <-errs; err != nil {
			t.Error(err)
		}
	})
}

// TestDivide: the shares add up to all streams, and every domain has at least one.
func TestDivide(t *testing.T) {
	for _, c := range []struct {
		streams, domains, index, elsewhere int
		want                               Streams
	}{
		{4, 3, 0, 0, Streams{Share: 2, Allowed: 4}}, {4, 3, 1, 2, Streams{Share: 1, Allowed: 2, BorrowRank: 1}}, {4, 3, 2, 4, Streams{Share: 1, Allowed: 1, BorrowRank: 2}},
		{1, 3, 2, 1, Streams{Share: 1, Allowed: 1, BorrowRank: 2}}, {40, 4, 3, 40, Streams{Share: 10, Allowed: 10, BorrowRank: 3}}, {4, 0, 0, 0, Streams{Share: 4, Allowed: 4}},
	} {
		if got := Divide(c.streams, c.domains, c.index, c.elsewhere); got != c.want {
			t.Errorf("Divide(%d, %d, %d, %d) = %v, want %v", c.streams, c.domains, c.index, c.elsewhere, got, c.want)
		}
	}
}

// TestBorrowing: a domain borrows one stream at a time beyond its share, and none before it must have learned which loads
// the other domains have started at the same moment.
func TestBorrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(DefaultParams())
		for i := range 4 {
			go func() {
				_ = g.Acquire(t.Context(), Request{Engine: "e", Unit: fmt.Sprint(i), Latest: time.Now().Add(time.Hour)})
			}()
		}
		synctest.Wait()
		loading := func(string, string) State { return Loading }
		for _, want := range []int{3, 2, 1, 0} { // waiting after each round
			g.Update(Streams{Share: 1, Allowed: 4}, loading, time.Now())
			synctest.Wait()
			if n := g.Waiting(); n != want {
				t.Errorf("%d loads wait, want %d", n, want)
			}
			time.Sleep(DefaultParams().BorrowInterval)
		}
	})
}

// TestBorrowOrder: of domains that need streams at the same moment, one borrows before the others, so that together they
// never use more streams than there are.
func TestBorrowOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, domains, needed = 4, 3, 5
		var gates []*Gate
		for range domains {
			g := NewGate(DefaultParams())
			gates = append(gates, g)
			for i := range needed {
				go func() {
					_ = g.Acquire(t.Context(), Request{Engine: "e", Unit: fmt.Sprint(i), Latest: time.Now().Add(time.Hour)})
				}()
			}
		}
		synctest.Wait()
		loading := func(string, string) State { return Loading }
		known := make([]int, domains) // streams in use in each domain, as known to the others
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(DefaultParams().PropagationDelay) {
			next := make([]int, domains)
			total := 0
			for i, g := range gates {
				elsewhere := known[(i+1)%domains] + known[(i+2)%domains]
				g.Update(Divide(streams, domains, i, elsewhere), loading, time.Now())
				synctest.Wait()
				next[i] = needed - g.Waiting()
				total += next[i]
			}
			if total > streams {
				t.Fatalf("%v streams in use, of %d", next, streams)
			}
			known = next
		}
	})
}

// runLoad takes a load of the given size and duration through the gate.
func (g *Gate) runLoad(t *testing.T, bytes int64, duration time.Duration) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		done <- g.Acquire(t.Context(), Request{Engine: "e", Unit: "before", Bytes: bytes, Latest: time.Now().Add(time.Hour)})
	}()
	synctest.Wait()
	one := Streams{Share: 1, Allowed: 1}
	g.Update(one, func(string, string) State { return Loading }, time.Now())
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	time.Sleep(duration)
	g.Update(one, func(string, string) State { return Finished }, time.Now())
}
