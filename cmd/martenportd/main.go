// Command martenportd runs one entry instance.
package main

import (
	"os"
	"runtime/debug"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/daemon"
	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/settings"
)

func main() {
	os.Exit(cli.Finish(run(os.Args[1:]), os.Stderr))
}

func run(args []string) error {
	var s settings.Settings
	if err := cli.Parse(&s, args); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return cli.Usage(err)
	}
	log, err := cli.Log(s.LogLevel, os.Stderr)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.Memory) << 20 * intake.HeapPercent / 100)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := cli.UntilSignal()
	defer stop()
	return d.Run(ctx)
}
