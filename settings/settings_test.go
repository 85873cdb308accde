package settings_test

import (
	"strings"
	"testing"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/settings"
)

// parse returns the settings for the given command line.
func parse(t *testing.T, args ...string) settings.Settings {
	t.Helper()
	var s settings.Settings
	if err := cli.Parse(&s, args); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestAllFaultsReported checks that Check reports all faults, not only the first.
func TestAllFaultsReported(t *testing.T) {
	s := parse(t, "--listen", "nowhere", "--max-requests", "0", "--tls-cert", "c", "--log-level", "loud")
	err := s.Check()
	if err == nil {
		t.Fatal("invalid settings accepted")
	}
	for _, flag := range []string{"--name", "--failure-domain", "--listen", "--platform-url", "--max-requests", "--tls-cert", "--log-level"} {
		if !strings.Contains(err.Error(), flag+":") {
			t.Errorf("no fault of %s in:\n%v", flag, err)
		}
	}
}

// TestFlagsAndEnvironment checks that settings are read from flags and from
// environment variables, including a list.
func TestFlagsAndEnvironment(t *testing.T) {
	t.Setenv("MARTENPORT_NAME", "i1")
	t.Setenv("MARTENPORT_PEERS", "10.0.0.1:1,10.0.0.2:1")
	s := parse(t, "--failure-domain", "a", "--platform-url", "http://10.0.0.9:7000")
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "i1" || len(s.Peers) != 2 {
		t.Errorf("settings %+v, want name i1 and two peers", s)
	}
}
