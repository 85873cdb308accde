package main

import (
	"fmt"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type declarationCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *declarationCommand) Execute([]string) error {
	d, err := call(c.shared, c.shared.client().GetDeclaration, &martenportv1.GetDeclarationRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(d)
	}
	fmt.Printf("# generation=%d plan=%s\n%s", d.Generation, d.PlanId, d.Declaration)
	return nil
}
