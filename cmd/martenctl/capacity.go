package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type capacityCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	answer, err := call(c.shared, c.shared.client().GetCapacity, &martenportv1.GetCapacityRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(answer)
	}
	return printCapacity(os.Stdout, answer)
}

// printCapacity prints one table for each list that is not empty.
func printCapacity(out io.Writer, a *martenportv1.GetCapacityResponse) error {
	fmt.Fprintf(out, "holder=%s classes=%d models_short_of_copies=%d queues=%d loads_held=%d engines_of_unusual_speed=%d\n",
		a.Holder, len(a.Classes), a.ShortModelsTotal, a.WaitlistTotal, a.LoadsHeld, a.EngineSpeedsTotal)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(a.Classes) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tPRIORITY\tOBJECTIVE\tREQUESTED\tOFFERED\tSERVED\tGUARANTEED\tLENT\tADMITTED")
	}
	for _, r := range a.Classes {
		fmt.Fprintf(w, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\n",
			r.Service, r.Priority, millis(r.ObjectiveMs), r.Requested, r.Offered, r.Served, r.Guaranteed, r.Lent, 100*r.AdmittedShare)
	}
	if len(a.ShortModels) > 0 {
		fmt.Fprintln(w, "\nMODEL SHORT OF COPIES\tCOPIES\tWANTED\tOFFERED\tRUNNING")
	}
	for _, m := range a.ShortModels {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\n", m.Model, m.Copies, m.Wanted, m.Offered, m.Running)
	}
	if len(a.Waitlist) > 0 {
		fmt.Fprintln(w, "\nWAITLIST OF MODEL\tPRIORITY\tOBJECTIVE\tLISTED\tDUE\tOLDEST")
	}
	for _, q := range a.Waitlist {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\n", q.Model, q.Priority, millis(q.ObjectiveMs), q.Listed, q.Due, millis(q.OldestMs))
	}
	if len(a.EngineSpeeds) > 0 {
		fmt.Fprintln(w, "\nENGINE OF UNUSUAL SPEED\tSPEED")
	}
	for _, s := range a.EngineSpeeds {
		fmt.Fprintf(w, "%s\t%.2f\n", s.Engine, s.Speed)
	}
	return w.Flush()
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
