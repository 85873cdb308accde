// Command martenctl is the command-line tool for operators. Each subcommand is in its own file.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/martenport/martenport/internal/cli"
)

// options are the flags that all subcommands share.
type options struct {
	Server     string `long:"server" env:"MARTENPORT_SERVER" default:"http://127.0.0.1:8081" description:"operators' address of any instance"`
	Credential string `long:"operator-credential" env:"MARTENPORT_OPERATOR_CREDENTIAL" description:"bearer token for operators"`
	Output     string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout    string `long:"timeout" env:"MARTENPORT_TIMEOUT" default:"10s" description:"time allowed for each call"`
}

func main() {
	os.Exit(cli.Finish(run(os.Args[1:]), os.Stderr))
}

func run(args []string) error {
	shared := &options{}
	parser := flags.NewParser(shared, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"validate", "check a declaration without a server", &validateCommand{shared: shared}},
		{"plan", "show what a declaration would change", &planCommand{shared: shared}},
		{"confirm", "accept a plan", &confirmCommand{shared: shared}},
		{"declaration", "print the declaration in force", &declarationCommand{shared: shared}},
		{"status", "show what an instance knows of the fleet", &statusCommand{shared: shared}},
		{"timeline", "show the events of all instances in causal order", &timelineCommand{shared: shared}},
		{"drain", "make an instance leave gracefully", &drainCommand{shared: shared}},
		{"workspaces", "list workspaces: what each asks for against its limit, and how current keys are known", &workspacesCommand{shared: shared}},
		{"capacity", "show which traffic class has which part of the engines, and what is lacking", &capacityCommand{shared: shared}},
		{"quarantine", "list requests under which servers ended", &quarantineCommand{shared: shared}},
		{"release", "have such a request be served again", &releaseCommand{shared: shared}},
		{"explain", "find in logs why a request ended as it did, or how all did", &explainCommand{shared: shared}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(args)
	return err
}
