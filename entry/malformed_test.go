package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/martenport/martenport/platform"
)

// nestedMark stands for a deeply nested value in an entry. The stand-in of the store can't encode such a value itself.
const nestedMark = `"@nested"`

// nestEntries makes a store answer with a deeply nested value for each nestedMark.
func nestEntries(h http.Handler) http.Handler {
	nested := []byte(strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(bytes.ReplaceAll(answer.Body.Bytes(), []byte(nestedMark), nested))
	})
}

// TestOddEntryHidesOtherServers: beside one deeply nested entry no instance learned of new servers, and one that started learned
// of none.
func TestOddEntryHidesOtherServers(t *testing.T) {
	f := (&fleet{t: t, wrapStore: nestEntries}).start(2)
	if _, err := f.store.Put(t.Context(), platform.PrefixServers+"odd", []byte(`{"more":`+nestedMark+`}`), 0); err != nil {
		t.Fatal(err)
	}
	f.addServer("p2", "plain", nil)
	started := f.addInstance(2)
	f.await("all instances know the new server", func() bool {
		return !slices.ContainsFunc(f.instances, func(r *running) bool { _, known := r.dir.Server("p2"); return !known })
	})
	if _, known := started.dir.Server("odd"); known {
		t.Error("the odd entry is used")
	}
	f.await("the odd entry is counted", func() bool {
		return slices.ContainsFunc(f.instances, func(r *running) bool {
			return r.set.GetOrCreateCounter("martenport_server_entries_unreadable_total").Get() > 0
		})
	})
}
