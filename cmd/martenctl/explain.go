package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/query/explain"
)

// explainCommand prints the lines in the logs of entry instances that explain one request or, if
// only logs are named, the outcomes of all requests and what they waited for.
type explainCommand struct {
	shared *options
	Args   struct {
		Names []string `positional-arg-name:"[REQUEST] FILE" required:"1" description:"a request's id, and logs: one file an instance, or one with the instance before each line; without an id all requests are counted by how they ended"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	request, paths := "", c.Args.Names
	if _, err := os.Stat(paths[0]); err != nil {
		request, paths = paths[0], paths[1:]
	}
	if len(paths) == 0 {
		return cli.Usage(errors.Newf("%q is no file: name at least one log", request))
	}
	lines, err := readLogs(paths)
	if err != nil {
		return err
	}
	if request == "" {
		return c.printOutcomes(explain.Outcomes(lines))
	}
	found, err := explain.RequestLines(lines, request)
	if err != nil {
		return err
	}
	for _, l := range found {
		fmt.Println(l.Time.Format("15:04:05.000"), l.Instance, l.Text)
	}
	return nil
}

func readLogs(paths []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, cli.Usage(errors.Wrap(err, "log"))
		}
		parsed, err := explain.ParseLog(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, parsed...)
	}
	return lines, nil
}

func (c *explainCommand) printOutcomes(groups []explain.Group) error {
	if c.shared.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(groups)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PRIORITY\tOUTCOME\tFOR\tREQUESTS\tSHARE\tWORTH")
	for _, g := range groups {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%.3f\t%.3f\n", g.Priority, g.Outcome, g.Cause, g.Requests, g.Share, g.WeightShare)
	}
	return w.Flush()
}
