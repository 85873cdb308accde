// Command martenentryd runs one entry instance on the users' platform.
package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/martenport/martenport/entry"
	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/platform"
)

// options of the command line; what the platform decides is in the settings file.
type options struct {
	Settings string `long:"settings" description:"settings file that the platform writes; if absent, the platform's environment variable names it"`
	LogLevel string `long:"log-level" env:"MARTENPORT_LOG_LEVEL" default:"info" description:"debug, info, warning or error"`
}

// Lines that wait to be written, and how long an instance that ends waits for
// the last of them.
const (
	logBuffer    = 2048
	logCloseWait = 200 * time.Millisecond
)

// memoryShare is the percentage of the process's memory that the heap may reach
// before the collector works harder; the rest is for stacks and for bytes that
// were received and not yet read.
const memoryShare = 70

func main() {
	os.Exit(cli.Finish(run(os.Args[1:]), os.Stderr))
}

func run(args []string) error {
	var o options
	if err := cli.Parse(&o, args); err != nil {
		return err
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		return cli.Usage(err)
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit * memoryShare / 100)
	}
	out := boundedlog.New(os.Stdout, logBuffer)
	defer out.Close(logCloseWait)
	log, err := cli.Log(o.LogLevel, out)
	if err != nil {
		return cli.Usage(err)
	}
	ctx, stop := cli.UntilSignal()
	defer stop()
	return entry.New(settings, o.Settings, log).Run(ctx)
}
