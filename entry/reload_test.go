package entry

import (
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/platform"
)

// TestReload checks that changed settings are applied, and that invalid ones leave the previous ones in force.
func TestReload(t *testing.T) {
	var s platform.Settings
	s.NodeName, s.IP, s.InternalPorts = "node", "127.0.0.1", []int{7380, 7390}
	s.Listen.Frontend, s.Listen.Ready, s.Platform.Address = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	s.Bounds.GraceS, s.Bounds.LeaseMS, s.Bounds.DrainMS = 8, 3000, 2000
	log := logrus.New()
	log.SetOutput(io.Discard)
	path := writeSettings(t, s)
	i := New(s, path, Options{}, log)

	s.Bounds.GraceS = 5
	text, err := os.ReadFile(writeSettings(t, s))
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		text  string
		grace float64
	}{{string(text), 5}, {"graceS = ", 5}, {"[bounds]\ngraceS = 3\n", 5}} {
		if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		i.reloadOnce("file")
		if got := i.settings.Load().Bounds.GraceS; got != step.grace {
			t.Errorf("grace %v s in force, want %v", got, step.grace)
		}
	}
}
