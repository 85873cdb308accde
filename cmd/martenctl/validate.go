package main

import (
	"fmt"

	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/cli"
)

type validateCommand struct {
	shared *options
	File   string `short:"f" long:"file" required:"true" description:"declaration in YAML"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	d, err := declaration.Parse(c.File, source)
	if err != nil {
		return cli.Usage(err)
	}
	fmt.Printf("valid engines=%d models=%d adapters=%d services=%d\n", len(d.Engines), len(d.Models), len(d.Adapters), len(d.Services))
	return nil
}
