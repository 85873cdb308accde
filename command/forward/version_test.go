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
