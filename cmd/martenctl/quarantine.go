package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/internal/cli"
)

type quarantineCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	list, err := call(c.shared, c.shared.client().ListQuarantine, &martenportv1.ListQuarantineRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(list)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tAGE\tSERVERS THAT ENDED\tREQUEST")
	for _, r := range list.Requests {
		age := (time.Duration(r.AgeMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Fingerprint, r.State, age, strings.Join(r.Servers, ","), r.Subject)
	}
	return w.Flush()
}

type releaseCommand struct {
	shared *options
	Args   struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"as quarantine lists it"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	if c.Args.Fingerprint == "" {
		return cli.Usage(errors.New("release: name the request by its fingerprint, as martenctl quarantine lists it"))
	}
	released, err := call(c.shared, c.shared.client().Release, &martenportv1.ReleaseRequest{Fingerprint: c.Args.Fingerprint})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(released)
	}
	fmt.Printf("released state=%s\n", released.State)
	return nil
}
