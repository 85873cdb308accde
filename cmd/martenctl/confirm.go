package main

import (
	"fmt"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type confirmCommand struct {
	shared *options
	Plan   string `long:"plan" required:"true" description:"id of the plan"`
	Base   int64  `long:"base" required:"true" description:"generation that the plan is against"`
	File   string `short:"f" long:"file" required:"true" description:"the same declaration as in the plan"`
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	req := &martenportv1.ConfirmRequest{PlanId: c.Plan, BaseGeneration: c.Base, Declaration: source}
	accepted, err := call(c.shared, c.shared.client().Confirm, req)
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(accepted)
	}
	fmt.Printf("accepted generation=%d\n", accepted.Generation)
	return nil
}
