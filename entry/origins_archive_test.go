package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
