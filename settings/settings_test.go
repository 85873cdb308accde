package settings_test

import (
	"strings"
	"testing"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/settings"
)

func parse(t *testing.T, args ...string) settings.Settings {
	t.Helper()
	var s settings.Settings
	if err := cli.Parse(&s, args); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestAllFaultsAtOnce(t *testing.T) {
	s := parse(t, "--listen", "nowhere", "--max-requests", "0", "--tls-cert", "c", "--log-level", "loud")
	err := s.Check()
	if err == nil {
		t.Fatal("accepted")
	}
	for _, flag := range []string{"--name", "--failure-domain", "--listen", "--platform-url", "--max-requests", "--tls-cert", "--log-level"} {
		if !strings.Contains(err.Error(), flag+":") {
			t.Errorf("%s is not named in:\n%v", flag, err)
		}
	}
}

func TestFlagsAndEnvironment(t *testing.T) {
	t.Setenv("MARTENPORT_NAME", "i1")
	t.Setenv("MARTENPORT_PEERS", "10.0.0.1:1,10.0.0.2:1")
	s := parse(t, "--failure-domain", "a", "--platform-url", "http://10.0.0.9:7000")
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "i1" || len(s.Peers) != 2 {
		t.Errorf("%+v", s)
	}
}
