// Package settings defines the settings of an instance, which are read from flags
// and environment variables. Validation reports all faults together.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/declaration"
)

// Settings are the settings of one instance. Durations are written as 250ms or 2s.
type Settings struct {
	Name          string `long:"name" env:"MARTENPORT_NAME" description:"name of this instance, unique in the fleet"`
	FailureDomain string `long:"failure-domain" env:"MARTENPORT_FAILURE_DOMAIN" description:"failure domain in which it runs"`

	Listen         string   `long:"listen" env:"MARTENPORT_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	OperatorListen string   `long:"operator-listen" env:"MARTENPORT_OPERATOR_LISTEN" default:"127.0.0.1:8081" description:"address for operators and metrics"`
	PeerListen     string   `long:"peer-listen" env:"MARTENPORT_PEER_LISTEN" default:"127.0.0.1:8082" description:"address for other instances"`
	PeerAddress    string   `long:"peer-address" env:"MARTENPORT_PEER_ADDRESS" description:"host:port at which other instances reach this one; default is the peer listen address"`
	Peers          []string `long:"peer" env:"MARTENPORT_PEERS" env-delim:"," description:"peer address of another instance to start from, when the platform does not answer"`

	PlatformURL  string  `long:"platform-url" env:"MARTENPORT_PLATFORM_URL" description:"base URL of the platform's object API"`
	PlatformRate float64 `long:"platform-rate" env:"MARTENPORT_PLATFORM_RATE" default:"50" description:"platform calls a second that this instance may make"`

	TLSCert            string `long:"tls-cert" env:"MARTENPORT_TLS_CERT" description:"certificate file for callers and operators"`
	TLSKey             string `long:"tls-key" env:"MARTENPORT_TLS_KEY" description:"key file of the certificate"`
	OperatorCredential string `long:"operator-credential" env:"MARTENPORT_OPERATOR_CREDENTIAL" description:"bearer token that operators must send"`
	OrderCredential    string `long:"order-credential" env:"MARTENPORT_ORDER_CREDENTIAL" description:"bearer token sent to backend servers with orders"`

	MaxRequests    int           `long:"max-requests" env:"MARTENPORT_MAX_REQUESTS" default:"2000" description:"requests in progress or waiting in this instance"`
	MaxPerModel    int           `long:"max-per-model" env:"MARTENPORT_MAX_PER_MODEL" default:"500" description:"the same for one model"`
	MaxPerCaller   int           `long:"max-per-caller" env:"MARTENPORT_MAX_PER_CALLER" default:"500" description:"the same for one caller"`
	MaxPromptBytes int           `long:"max-prompt-bytes" env:"MARTENPORT_MAX_PROMPT_BYTES" default:"1048576" description:"largest prompt or service call body"`
	MaxTokens      int           `long:"max-tokens" env:"MARTENPORT_MAX_TOKENS" default:"8192" description:"most tokens that a request may ask for"`
	MaxTimeout     time.Duration `long:"max-timeout" env:"MARTENPORT_MAX_TIMEOUT" default:"24h" description:"longest time that a request may allow"`
	Memory         int           `long:"memory" env:"MARTENPORT_MEMORY" default:"1024" description:"memory of the process in MiB; requests may take a quarter of it together, and connections another"`
	KeyRetention   time.Duration `long:"key-retention" env:"MARTENPORT_KEY_RETENTION" default:"24h" description:"how long keys of non-idempotent requests are remembered"`
	HeldAnswers    int           `long:"held-answers" env:"MARTENPORT_HELD_ANSWERS" default:"10000" description:"answers of non-idempotent requests held for repeats"`
	DrainLimit     time.Duration `long:"drain-limit" env:"MARTENPORT_DRAIN_LIMIT" default:"10m" description:"longest time that a graceful shutdown waits for running requests"`

	Events   int           `long:"events" env:"MARTENPORT_EVENTS" default:"20000" description:"events kept for the time line"`
	LogLevel string        `long:"log-level" env:"MARTENPORT_LOG_LEVEL" default:"info" description:"error, warning, info or debug"`
	Tick     time.Duration `long:"tick" env:"MARTENPORT_TICK" default:"1s" description:"how often engines are looked after"`
	Settle   time.Duration `long:"settle" env:"MARTENPORT_SETTLE" default:"2s" description:"time after the start before engines are taken over"`
	Workers  int           `long:"workers" env:"MARTENPORT_WORKERS" default:"8" description:"engines looked after at once"`
}

// Check returns one error that lists all faults of s, nil if there are none.
func (s *Settings) Check() error {
	var faults []string
	fault := func(flag, format string, args ...any) {
		faults = append(faults, "--"+flag+": "+fmt.Sprintf(format, args...))
	}
	s.checkNames(fault)
	s.checkAddresses(fault)
	s.checkLimits(fault)
	if (s.TLSCert == "") != (s.TLSKey == "") {
		fault("tls-cert", "give both --tls-cert and --tls-key, or neither")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		fault("log-level", "%q is none of error, warning, info, debug", s.LogLevel)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Newf("settings:\n  %s", strings.Join(faults, "\n  "))
}

// faultFunc records a fault of the setting with the given flag.
type faultFunc func(flag, format string, args ...any)

func (s *Settings) checkNames(fault faultFunc) {
	if !declaration.IsName(s.Name) {
		fault("name", "%q is not a name, use 1 to 63 of a-z, 0-9, dot, dash and underscore", s.Name)
	}
	if !declaration.IsName(s.FailureDomain) {
		fault("failure-domain", "%q is not a name, use 1 to 63 of a-z, 0-9, dot, dash and underscore", s.FailureDomain)
	}
}

func (s *Settings) checkAddresses(fault faultFunc) {
	for flag, address := range map[string]string{"listen": s.Listen, "operator-listen": s.OperatorListen, "peer-listen": s.PeerListen} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			fault(flag, "%q is not host:port", address)
		}
	}
	for _, address := range append([]string{s.PeerAddress}, s.Peers...) {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			fault("peer", "%q is not host:port", address)
		}
	}
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" {
		fault("platform-url", "%q is not a URL, write it as http://10.0.0.1:7000", s.PlatformURL)
	}
}

func (s *Settings) checkLimits(fault faultFunc) {
	for flag, n := range map[string]int{
		"max-requests": s.MaxRequests, "max-per-model": s.MaxPerModel, "max-per-caller": s.MaxPerCaller,
		"max-prompt-bytes": s.MaxPromptBytes, "max-tokens": s.MaxTokens, "held-answers": s.HeldAnswers,
		"events": s.Events, "workers": s.Workers, "memory": s.Memory,
	} {
		if n < 1 {
			fault(flag, "%d is below 1", n)
		}
	}
	for flag, d := range map[string]time.Duration{
		"max-timeout": s.MaxTimeout, "key-retention": s.KeyRetention,
		"drain-limit": s.DrainLimit, "tick": s.Tick,
	} {
		if d <= 0 {
			fault(flag, "%v is not above 0s", d)
		}
	}
	if s.PlatformRate <= 0 {
		fault("platform-rate", "%v is not above 0", s.PlatformRate)
	}
	if s.Settle < 0 {
		fault("settle", "%v is below 0s", s.Settle)
	}
}
