package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type workspacesCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *workspacesCommand) Execute([]string) error {
	list, err := call(c.shared, c.shared.client().ListWorkspaces, &martenportv1.ListWorkspacesRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(list)
	}
	age := time.Duration(list.ConfigAgeMs) * time.Millisecond
	fmt.Printf("configuration=%d known_to_be_newest_ago=%s keys_trusted=%v\n", list.ConfigVersion, age.Round(time.Millisecond), list.KeysTrusted)
	if !list.TotalsKnown {
		fmt.Println("the holder does not answer: what all instances together ask for is not known")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tKEYS\tUNIT\tLIMIT/S\tBURST\tDEMAND/S\tLENT/S\tLEFT\tASKED\tREFUSED\tASKED HERE\tREFUSED HERE")
	for _, s := range list.Workspaces {
		limit, burst := "none", ""
		if s.Rate > 0 {
			limit, burst = fmt.Sprintf("%.0f", s.Rate), fmt.Sprintf("%.0f", s.Burst)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			s.Name, s.Keys, s.Unit, limit, burst, s.Demand, s.LentRate, s.Left, s.Asked, s.Refused, s.AskedHere, s.RefusedHere)
	}
	return w.Flush()
}
