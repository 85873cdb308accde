package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
)

// archiveStore counts the bytes that are written.
type archiveStore struct {
	store.Store
	bytes int
}

// Put implements store.Store.
func (s *archiveStore) Put(ctx context.Context, key string, value []byte, known store.Revision) (store.Object, error) {
	s.bytes += len(value)
	return s.Store.Put(ctx, key, value, known)
}

// TestStreamsOfLastSecondsAreLostWithLargeFleet guards against streams that can't go on after all instances of a large fleet
// have ended at once, since where they began was not archived yet.
func TestStreamsOfLastSecondsAreLostWithLargeFleet(t *testing.T) {
	const (
		instances = 77
		spacing   = 80 * time.Millisecond // between two origins that an instance keeps
		played    = 60 * time.Second
		lastOnes  = int(2 * time.Second / spacing) // clients abandon a silent stream then
		// maxBytesPerSecond is the part of the bound on an instance's control traffic (docs/CAPACITY.md) that archives may take.
		maxBytesPerSecond = 8 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &archiveStore{Store: standin.NewPlatform()}
		newArchive := func() *originArchive {
			return &originArchive{
				store: s, key: prefixOrigins + "a", table: skew.NewOrigins(), dir: directory.New(), instances: func() int { return instances }, log: discardLog(),
			}
		}
		a := newArchive()
		go a.run(ctx)
		last, kept := 0, 0
		for n := range int(played / spacing) {
			time.Sleep(spacing)
			a.window.Add(skew.Entry{Attempt: fmt.Sprint(n), Origin: skew.Origin{Service: "s", Version: "v1"}}, clock.Now())
			synctest.Wait()
			if n%31 != 30 {
				continue
			}
			successor := newArchive()
			successor.restore(ctx)
			for earlier := range lastOnes {
				last++
				if _, known := successor.table.Find(fmt.Sprint(n-earlier), clock.Now()); known {
					kept++
				}
			}
		}
		stop()
		if 2*kept <= last {
			t.Errorf("of %d streams that began in the last 2 s before all instances end %d can go on", last, kept)
		}
		if perSecond := s.bytes / int(played/time.Second); perSecond > maxBytesPerSecond {
			t.Errorf("%d B a second archived", perSecond)
		}
		t.Logf("%d of %d origins of the last 2 s archived, %d B a second", kept, last, s.bytes/int(played/time.Second))
	})
}

// deletionStore counts deletions, and may lose the answer of one that is carried out.
type deletionStore struct {
	store.Store
	deletions   int
	losesAnswer bool
}

// Delete implements store.Store.
func (s *deletionStore) Delete(ctx context.Context, key string, known store.Revision) error {
	s.deletions++
	if err := s.Store.Delete(ctx, key, known); err != nil || !s.losesAnswer {
		return err
	}
	s.losesAnswer = false
	return store.ErrUnknown
}

// TestEmptyArchiveIsDeletedForEver guards against an archive without origins whose deletion is tried again and again, and never
// succeeds.
func TestEmptyArchiveIsDeletedForEver(t *testing.T) {
	const mostDeletions = 4 // of two entries, each a second time at most
	for _, cause := range []string{"", "answer lost", "entry written by another process"} {
		t.Run(cause, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &deletionStore{Store: standin.NewPlatform(), losesAnswer: cause == "answer lost"}
				a := &originArchive{store: s, key: prefixOrigins + "a", table: skew.NewOrigins(), dir: directory.New(), log: discardLog()}
				add := func(attempt string) {
					a.window.Add(skew.Entry{Attempt: attempt, Origin: skew.Origin{Service: "s", Version: "v1"}}, clock.Now())
				}
				add("1")
				a.update(t.Context())
				add("2")
				a.updateRecent(t.Context())
				a.update(t.Context())
				if cause == "entry written by another process" {
					if _, err := store.WriteJSON(t.Context(), s, a.key, skew.Digests{"s": {"v2": make([]byte, 16)}}, a.revision); err != nil {
						t.Fatal(err)
					}
				}
				for range 10 {
					time.Sleep(time.Minute)
					a.update(t.Context())
				}
				for _, key := range []string{a.key, a.recentKey()} {
					if _, err := s.Get(t.Context(), key); !errors.Is(err, store.ErrNotFound) {
						t.Errorf("entry %s is left: %v", key, err)
					}
				}
				if s.deletions > mostDeletions {
					t.Errorf("%d deletions, want %d at most", s.deletions, mostDeletions)
				}
			})
		})
	}
}

// TestNameOfInstanceClashesWithEntry guards against two instances that write the same entry, so that one loses its origins.
func TestNameOfInstanceClashesWithEntry(t *testing.T) {
	s := standin.NewPlatform()
	archives := map[string]*originArchive{}
	for _, name := range []string{"a", "a-recent", "recent-a"} {
		a := &originArchive{store: s, key: prefixOrigins + name, table: skew.NewOrigins(), dir: directory.New(), log: discardLog()}
		archives[name] = a
		a.window.Add(skew.Entry{Attempt: name, Origin: skew.Origin{Service: "s", Version: "v1"}}, clock.Now())
		a.update(t.Context())
	}
	for _, attempt := range []string{"1", "2", "3"} { // a conflict merges entries, the next write does not
		a := archives["a"]
		a.window.Add(skew.Entry{Attempt: attempt, Origin: skew.Origin{Service: "s", Version: "v1"}}, clock.Now())
		a.updateRecent(t.Context())
		if attempt == "2" {
			a.update(t.Context())
		}
	}
	for name, a := range archives {
		successor := &originArchive{store: s, key: a.key, table: skew.NewOrigins(), dir: directory.New(), log: discardLog()}
		if !successor.restore(t.Context()) {
			t.Fatal("not restored")
		}
		if _, known := successor.table.Find(name, clock.Now()); !known {
			t.Errorf("origin that instance %s keeps is lost", name)
		}
	}
}
