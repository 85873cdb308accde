package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// stoppingStore stops a server's announcements, and removes its entry, before it answers a Get.
type stoppingStore struct {
	*standin.Platform
	stop context.CancelFunc
}

// Get implements store.Store.
func (s *stoppingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.stop()
	if obj, err := s.Platform.Get(ctx, key); err == nil {
		_ = s.Delete(ctx, key, obj.Version)
	}
	return s.Platform.Get(ctx, key)
}

// TestStoppedServerAnnouncesItselfAgain guards against tests in which the entry of a server that was stopped comes back.
func TestStoppedServerAnnouncesItselfAgain(t *testing.T) {
	s, err := standin.NewServer("127.0.0.1", standin.ServerParams{ID: "s"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	ctx, stop := context.WithCancel(t.Context())
	p := standin.NewPlatform()
	s.Announce(ctx, &stoppingStore{p, stop}, time.Hour)
	if _, err := p.Get(t.Context(), platform.PrefixServers+"s"); err == nil {
		t.Error("the entry is there again")
	}
}
