package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/dustin/go-humanize"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
)

type statusCommand struct{ shared *options }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := call(c.shared, c.shared.client().GetStatus, &martenportv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if c.shared.Output == "json" {
		return printJSON(s)
	}
	r := s.GetRequests() // may be nil
	fmt.Printf("instance=%s domain=%s generation=%d draining=%t platform=%t\n", s.Instance, s.FailureDomain, s.Generation, s.Draining, s.PlatformReachable)
	fmt.Printf("requests accepted=%d answered=%d refused=%d failed=%d cancelled=%d running=%d\n\n", r.GetAccepted(), r.GetAnswered(), r.GetRefused(), r.GetFailed(), r.GetCancelled(), r.GetRunning())
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printInstances(w, s)
	printEngines(w, s)
	printModels(w, s)
	return w.Flush()
}

func printInstances(w *tabwriter.Writer, s *martenportv1.GetStatusResponse) {
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tSTATE\tGENERATION")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", i.Name, i.FailureDomain, i.State, i.Generation)
	}
}

func printEngines(w *tabwriter.Writer, s *martenportv1.GetStatusResponse) {
	fmt.Fprintln(w, "\nENGINE\tDOMAIN\tORDERER\tEPOCH\tMEMORY\tQUEUE\tLEAVING\tTAKES\tRESIDENT\tLOADING\tDOUBTFUL")
	for _, e := range s.Engines {
		memory := humanize.IBytes(uint64(e.UsedBytes)) + "/" + humanize.IBytes(uint64(e.MemoryBytes))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%t\t%s\t%s\t%s\t%s\n", e.Name, e.FailureDomain, e.Orderer, e.Epoch, memory, e.Queue, e.Leaving, acceptedRate(e),
			strings.Join(e.Resident, ","), strings.Join(e.Loading, ","), strings.Join(e.Doubtful, ","))
	}
}

// acceptedRate describes the load that an engine accepts according to its advisories: all requests
// unless it has set a limit or asked for a pause.
func acceptedRate(e *martenportv1.EngineStatus) string {
	switch {
	case e.RestingSeconds > 0:
		return fmt.Sprintf("nothing for %.1f s", e.RestingSeconds)
	case e.Limited:
		return fmt.Sprintf("%g/s", e.Limit)
	default:
		return "all"
	}
}

func printModels(w *tabwriter.Writer, s *martenportv1.GetStatusResponse) {
	fmt.Fprintln(w, "\nMODEL\tRESIDENT\tLOADING\tMAX\tWAITING HERE\tWHY NOT LOADED")
	for _, m := range s.Models {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", m.Name, m.Resident, m.Loading, m.MaxReplicas, m.Waiting, m.WhyNotLoaded)
	}
}
