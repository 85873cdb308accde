package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
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
	for name, test := range map[string]struct {
		route, version string
		sends          int
		body           string
	}{
		"begins":                      {"stream", "", 1, begun}, // relayed as far as it goes, and not continued
		"must not be repeated":        {"once", "", 1, begun},
		"goes on, bound to a version": {"stream", "v1", 2, threeEvents}, // asked for again, at another server
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupFixture(t, &fakeMemory{state: serving.RunGone}, brokenStream, reply{status: 200, events: true, body: threeEvents})
			for _, id := range []string{"e1", "e2"} {
				f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Born: 1, Version: "v1", Models: map[string][]string{"warm": nil}}, time.Now())
			}
			f.replaceOnSend()
			f.forwarder.origins = boundOrigins(test.version)
			w, _ := f.serveAfter(test.route, test.version != "")
			if len(f.servers.attempts) != test.sends || w.Body.String() != test.body {
				t.Errorf("%d sends, client got %q", len(f.servers.attempts), w.Body.String())
			}
			if last := f.servers.attempts[test.sends-1]; last.ResumeAfter == "2" {
				t.Error("goes on after the events of the replaced server")
			}
		})
	}
}

// TestStreamOfUnknownProcess guards against streams that go on at the version that was known of a server although another
// process may have answered there.
func TestStreamOfUnknownProcess(t *testing.T) {
	broken := brokenStream
	broken.processUnknown = true
	f := newFixture(t, broken, reply{status: 200, events: true, body: threeEvents})
	if w, failure := f.serveAfter("stream", false); failure == nil || len(f.servers.attempts) != 1 || w.Body.Len() == 0 {
		t.Errorf("%v after %d sends, client got %q; want what there is, and no second send", failure, len(f.servers.attempts), w.Body.String())
	}
}

// TestReplacedServerIsLogged guards against streams that end early, or are asked for again, for a reason that no log line
// tells.
func TestReplacedServerIsLogged(t *testing.T) {
	for version, outcome := range map[string]string{"": "not_continued", "v1": "dropped"} {
		f := newFixture(t, reply{status: 200, events: true, body: threeEvents}, reply{status: 200, events: true, body: threeEvents})
		for _, id := range []string{"e1", "e2"} {
			f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Born: 1, Version: "v1", Models: map[string][]string{"warm": nil}}, time.Now())
		}
		logger, lines := logtest.NewNullLogger()
		f.forwarder.log, f.forwarder.origins = logger, boundOrigins(version)
		f.replaceOnSend()
		f.serveAfter("stream", version != "")
		var logged []logrus.Fields
		for _, line := range lines.AllEntries() {
			if line.Message == "server may have been replaced since the request was sent" {
				logged = append(logged, line.Data)
			}
		}
		if len(logged) != 1 || logged[0]["outcome"] != outcome || logged[0]["found_version"] != "v2" || logged[0]["version"] != "v1" || logged[0]["bound"] != version {
			t.Errorf("bound to %q: %v", version, logged)
		}
	}
}

// TestStreamOfUnknownProcessAtServerOfAnyVersion guards against streams of a replaced server that go on at one whose
// version has the name by which an unknown version is stated.
func TestStreamOfUnknownProcessAtServerOfAnyVersion(t *testing.T) {
	for _, version := range []string{"unknown", "", "none"} {
		broken := brokenStream
		broken.processUnknown = true
		f := newFixture(t, broken, reply{status: 200, events: true, body: threeEvents})
		for _, id := range []string{"e1", "e2"} {
			f.dir.ApplyServer(serving.Server{ID: id, Service: "llm", Address: id + ":1", Revision: 3, Version: version, Models: map[string][]string{"warm": nil}}, time.Now())
		}
		if _, failure := f.serveAfter("stream", false); failure == nil || len(f.servers.attempts) != 1 {
			t.Errorf("version %q: %v after %d sends, want one", version, failure, len(f.servers.attempts))
		}
	}
}

// boundOrigins returns Origins that know that all streams began at a version; nil if it is "".
func boundOrigins(version string) Origins {
	if version == "" {
		return nil
	}
	return fakeOrigins{skew.Origin{Service: "llm", Version: version}}
}

// serveAfter sends a request for the model warm; takesUp makes it take a stream up before its first event.
func (f *fixture) serveAfter(route string, takesUp bool) (*httptest.ResponseRecorder, *verdict.Failure) {
	w := httptest.NewRecorder()
	r := &serving.Request{ID: "r1", Method: http.MethodPost, Host: "h", Target: "/" + route + "/x", Header: http.Header{}, Unit: serving.Unit{Model: "warm"}, Arrived: time.Now()}
	if takesUp {
		r.LastEventID, r.Resumes = "0", "before"
	}
	return w, f.forwarder.Serve(context.Background(), r, w)
}
