// Command martendev runs stand-ins for development: a single one as its own process (platform,
// engine, server, service), the entry instances with their stand-ins, or, without a subcommand, a
// small complete fleet in one process.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/martenport/martenport/internal/cli"
)

func main() {
	os.Exit(cli.Finish(run(os.Args[1:]), os.Stderr))
}

func run(args []string) error {
	fleet := &fleetOptions{}
	parser := flags.NewParser(fleet, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"platform", "run a stand-in platform", &platformCommand{}},
		{"engine", "run a stand-in engine", &engineCommand{}},
		{"server", "run a stand-in backend server of the users' platform", &serverCommand{}},
		{"service", "run a stand-in plain service", &serviceCommand{}},
		{"entries", "run entry instances as on the users' platform, on stand-ins, in one process", &entriesCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return err
	}
	if parser.Active != nil {
		return nil
	}
	return fleet.run()
}
