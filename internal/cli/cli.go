// Package cli has what the programs share: flag parsing, exit codes, the log, and the signals that
// stop them.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// Exit codes of all programs; docs/OPERATIONS.md lists them.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the operation failed
	ExitUsage   = 2 // invalid flags, environment or declaration
	ExitRefused = 3 // the fleet refused the request, for example because of a stale plan
)

// Exit is an error with its own exit code.
type Exit struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *Exit) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Exit) Unwrap() error { return e.Err }

// Usage marks err as caused by invalid flags, environment or a declaration.
func Usage(err error) error { return &Exit{Code: ExitUsage, Err: err} }

// Finish prints err, if any, and returns the exit code for it.
func Finish(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(stderr, err)
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	var exit *Exit
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &help):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// Parse fills target from flags and environment. Positional arguments are an error.
func Parse(target any, args []string) error {
	rest, err := flags.NewParser(target, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return Usage(errors.Newf("unexpected argument %q", rest[0]))
	}
	return nil
}

// timestampFormat includes milliseconds: a model load takes about a second, a request less.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// Log returns a logger that writes one line of key=value pairs per entry. What libraries report goes there, too.
func Log(level string, to io.Writer) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetOutput(to)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
	captureLibraryLog(log)
	return log, nil
}

// UntilSignal returns a context that is cancelled by SIGINT or SIGTERM.
func UntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
