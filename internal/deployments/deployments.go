// Package deployments has outlines of the two users' declarations at their current size, for
// martendev, tests and benchmarks.
package deployments

import (
	_ "embed" // embeds the declarations
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/declaration"
)

//go:embed pulmapilt.yaml
var pulmapilt []byte

//go:embed association.yaml
var association []byte

// Names of the deployments.
const (
	Pulmapilt   = "pulmapilt"
	Association = "association"
)

// Source returns the YAML of a deployment.
func Source(name string) ([]byte, error) {
	switch name {
	case Pulmapilt:
		return pulmapilt, nil
	case Association:
		return association, nil
	default:
		return nil, errors.Newf("unknown deployment %q, want %s or %s", name, Pulmapilt, Association)
	}
}

// WithAddresses replaces the placeholder addresses of the backend servers in source by those in
// addresses, which are keyed by the servers' names.
func WithAddresses(source []byte, d *declaration.Declaration, addresses map[string]string) []byte {
	text := string(source)
	for _, e := range d.Engines {
		text = strings.ReplaceAll(text, `"`+e.Address+`"`, `"`+addresses[e.Name]+`"`)
	}
	for _, s := range d.Services {
		for _, b := range s.Instances {
			text = strings.ReplaceAll(text, `"`+b.Address+`"`, `"`+addresses[b.Name]+`"`)
		}
	}
	return []byte(text)
}

// TwoYears returns a declaration of the size that the users expect in two years.
func TwoYears() []byte {
	var b strings.Builder
	b.WriteString("failureDomains: [a, b, c, d]\nweightStore: {startsPerSecond: 30, streams: 40}\nengines:\n")
	for n := range 600 {
		fmt.Fprintf(&b, "  - {name: domain-engine-%03d, failureDomain: %c, address: \"10.120.130.%d:9000\", memory: 320GiB, fencing: true}\n",
			n, 'a'+n%4, n%250)
	}
	b.WriteString("models:\n")
	for n := range 790 {
		fmt.Fprintf(&b, "  - {name: customer-model-%04d, version: \"2026-11-%02d\", memory: 14GiB, maxReplicas: 3, deadline: 30s}\n",
			n, n%28)
	}
	b.WriteString("adapters:\n")
	for n := range 1600 {
		fmt.Fprintf(&b, "  - {name: customer-adapter-%04d, model: customer-model-%04d, version: \"2026-11-%02d\", memory: 256MiB}\n",
			n, n%790, n%28)
	}
	return []byte(b.String())
}
