// Package deployments holds the declarations of the two users in outline, at
// today's size, for martendev, tests and benchmarks.
package deployments

import (
	_ "embed" // the declarations
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
		return nil, errors.Newf("deployment %q is none of %s, %s", name, Pulmapilt, Association)
	}
}

// WithAddresses replaces the placeholder addresses of backend servers, given
// by their names.
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
