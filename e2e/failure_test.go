package e2e

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

// failureIn returns the Failure in the details of an API error, or nil.
func failureIn(err error) *martenportv1.Failure {
	var protocol *connect.Error
	if !errors.As(err, &protocol) {
		return nil
	}
	for _, d := range protocol.Details() {
		if value, err := d.Value(); err == nil {
			if f, ok := value.(*martenportv1.Failure); ok {
				return f
			}
		}
	}
	return nil
}
