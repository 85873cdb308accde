package forward

import (
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// TestBackupKeepsVersion guards against backups at engines of another software version, where the stream cannot go on.
func TestBackupKeepsVersion(t *testing.T) {
	f := newBackupFixture(t, &fakeMemory{state: serving.RunGone}, brokenStream, restOfStream)
	for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
		f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Version: version, Models: map[string][]string{"warm": nil}}, time.Now())
	}
	if _, failure := f.serve("once", "warm", 0); failure == nil || len(f.servers.attempts) != 1 || f.servers.attempts[0].Backup != "" {
		t.Errorf("%v, attempts %+v; want neither a backup nor a second send", failure, f.servers.attempts)
	}
}

// replaceOnSend starts the server of the first attempt again, under its ID and with another version, once it was sent.
func (f *fixture) replaceOnSend() {
	f.servers.onSend = func(a serving.Attempt) {
		s := a.Server
		s.Version, s.Born, s.Revision = "v2", s.Born+1000, s.Revision+10
		f.dir.ApplyServer(s, time.Now())
		f.servers.onSend = nil
	}
}

// TestStreamOfReplacedServer guards against streams with events of a version that their server did not have when they were
// sent, which would go on at the version that it had.
func TestStreamOfReplacedServer(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for route, test := range map[string]struct {
		sends int
		body  string
	}{
		"stream": {2, threeEvents}, // sent again from its beginning
		"once":   {1, begun},       // relayed as far as it goes, and not continued
	} {
		t.Run(route, func(t *testing.T) {
			f := newBackupFixture(t, &fakeMemory{state: serving.RunGone}, brokenStream, reply{status: 200, events: true, body: threeEvents})
			for _, id := range []string{"e1", "e2"} {
				f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Born: 1, Version: "v1", Models: map[string][]string{"warm": nil}}, time.Now())
			}
			f.replaceOnSend()
			w, _ := f.serve(route, "warm", 0)
			if len(f.servers.attempts) != test.sends || w.Body.String() != test.body {
				t.Errorf("%d sends, client got %q", len(f.servers.attempts), w.Body.String())
			}
			if last := f.servers.attempts[test.sends-1]; last.ResumeAfter != "" {
				t.Errorf("resumed after %q", last.ResumeAfter)
			}
		})
	}
}
