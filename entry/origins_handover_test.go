package entry

import (
	"context"
	"testing"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/store"
)

// silentStore answers no List until release is closed, and closes asked at the first.
type silentStore struct {
	store.Store
	asked, release chan struct{}
}

// List implements store.Store.
func (s *silentStore) List(context.Context, string) (store.Snapshot, error) {
	close(s.asked)
	<-s.release
	return store.Snapshot{}, store.ErrUnavailable
}

// TestOriginIsKnownDuringHandover guards against streams that are refused because their origins are about to be sent to others.
func TestOriginIsKnownDuringHandover(t *testing.T) {
	s := &silentStore{Store: standin.NewPlatform(), asked: make(chan struct{}), release: make(chan struct{})}
	o := newTestOrigins(directory.New(), &versionMarks{})
	o.members, o.log = &members{store: s, log: discardLog()}, discardLog()
	origin := skew.Origin{Service: "s", Version: "v1"}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		o.sendUnsent(t.Context(), []skew.Entry{{Attempt: "first", Origin: origin}, {Attempt: "last", Origin: origin}}, "test")
	}()
	<-s.asked
	for _, attempt := range []string{"first", "last"} {
		if found, known := o.find(attempt); !known || found != origin {
			t.Errorf("origin of %s: %+v, known %t", attempt, found, known)
		}
	}
	s.asked = make(chan struct{})
	close(s.release)
	<-sent
}
