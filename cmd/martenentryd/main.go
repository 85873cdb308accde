// Command martenentryd runs one entry instance on the users' platform.
package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/intake"
	"github.com/martenport/martenport/entry"
	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/platform"
)

// options are the command-line flags. Settings that the platform determines are in the settings
// file.
type options struct {
	Settings           string `long:"settings" description:"settings file that the platform writes; if absent, the platform's environment variable names it"`
	OperatorsPort      int    `long:"operators-port" env:"MARTENPORT_OPERATORS_PORT" description:"port on the instance's own address where operators are answered, the same at all instances; absent, no operators' interface is offered and no number of replicas limited"`
	OperatorCredential string `long:"operator-credential" env:"MARTENPORT_OPERATOR_CREDENTIAL" description:"bearer token that operators must send"`
	RequestMemory      int    `long:"request-memory" env:"MARTENPORT_REQUEST_MEMORY" default:"25" description:"part of the process's memory in percent, 1 to 50, that clients' requests may take together, beyond 8 KiB each"`
	LogLevel           string `long:"log-level" env:"MARTENPORT_LOG_LEVEL" default:"info" description:"debug, info, warning or error"`
}

// logBuffer is the number of log lines that are buffered; logCloseTimeout is how long the process
// waits for them to be written when it exits.
const (
	logBuffer       = 2048
	logCloseTimeout = 200 * time.Millisecond
)

// maxPort is the highest TCP port.
const maxPort = 65535

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
		debug.SetMemoryLimit(limit * intake.HeapPercent / 100)
	}
	if o.OperatorsPort < 0 || o.OperatorsPort > maxPort {
		return cli.Usage(errors.Newf("--operators-port %d is not a port: give 1 to %d, or leave it out", o.OperatorsPort, maxPort))
	}
	if o.RequestMemory < 1 || o.RequestMemory > intake.MaxPercent {
		return cli.Usage(errors.Newf("--request-memory %d is not a part of the memory: give 1 to %d percent", o.RequestMemory, intake.MaxPercent))
	}
	out := boundedlog.New(os.Stdout, logBuffer)
	defer out.Close(logCloseTimeout)
	log, err := cli.Log(o.LogLevel, out)
	if err != nil {
		return cli.Usage(err)
	}
	ctx, stop := cli.UntilSignal()
	defer stop()
	return entry.New(settings, o.Settings, entry.Options{
		OperatorsPort: o.OperatorsPort, OperatorCredential: o.OperatorCredential, RequestMemoryPercent: o.RequestMemory,
	}, log).Run(ctx)
}
