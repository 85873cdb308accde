package main

import (
	"fmt"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type drainCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	d, err := call(c.shared, c.shared.client().Drain, &martenportv1.DrainRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(d)
	}
	fmt.Printf("draining running=%d\n", d.Running)
	return nil
}
