package main

import (
	"fmt"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/cli"
)

type planCommand struct {
	shared *options
	File   string `short:"f" long:"file" required:"true" description:"declaration in YAML"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := declaration.Parse(c.File, source); err != nil {
		return cli.Usage(err)
	}
	plan, err := call(c.shared, c.shared.client().Plan, &martenportv1.PlanRequest{Declaration: source})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(plan)
	}
	for _, change := range plan.Changes {
		fmt.Printf("%-7s %s %s\n", change.Kind, change.Subject, change.Detail)
	}
	for _, w := range plan.Warnings {
		fmt.Printf("warning %s\n", w)
	}
	fmt.Printf("plan=%s base=%d changes=%d\n", plan.PlanId, plan.BaseGeneration, len(plan.Changes))
	fmt.Printf("to accept it: martenctl confirm --plan %s --base %d -f %s\n", plan.PlanId, plan.BaseGeneration, c.File)
	return nil
}
