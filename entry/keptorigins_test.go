package entry

import (
	"context"
	"testing"

	"github.com/martenport/martenport/command/skew"
)

// TestOriginIsKeptElsewhere guards against an instance that is cut off from the others and takes origins for known that reach
// nobody, and against one that holds a version back after it reaches them again.
func TestOriginIsKeptElsewhere(t *testing.T) {
	f := newAloneFleet(t, 3)
	origin := skew.Origin{Service: "llm", Version: "v2"}
	id := newAttemptID()
	f.await("an origin kept", func() bool {
		return f.alone.origins.RecordKept(t.Context(), id, origin) && f.alone.origins.MayGiveWay()
	})
	if found := f.instances[0].origins.Find(t.Context(), id, "llm").Origin; found != origin {
		t.Errorf("another instance knows %+v", found)
	}
	f.from.set(cutRefused)
	f.to.set(cutRefused)
	gone, leave := context.WithCancel(t.Context())
	leave()
	if f.alone.origins.RecordKept(gone, newAttemptID(), origin) || !f.alone.origins.MayGiveWay() {
		t.Error("a client that has left tells that nobody hears of origins")
	}
	if f.alone.origins.RecordKept(t.Context(), newAttemptID(), origin) || f.alone.origins.MayGiveWay() {
		t.Error("an origin counts as kept while the instance reaches no other")
	}
	f.from.set(notCut)
	f.to.set(notCut)
	f.await("origins kept again", func() bool {
		return f.alone.origins.MayGiveWay() && f.alone.origins.RecordKept(t.Context(), newAttemptID(), origin)
	})
}
