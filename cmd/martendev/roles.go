package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/internal/standin"
)

// serve answers on address until a signal comes, and prints the address.
func serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("listening address=%s\n", l.Addr())
	ctx, stop := cli.UntilSignal()
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"address"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Listen, standin.NewPlatform().Handler())
}

type engineCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:9000" description:"address"`
	Name       string        `long:"name" default:"engine" description:"name, for its own messages"`
	Memory     string        `long:"memory" default:"80GiB" description:"accelerator memory"`
	Fencing    bool          `long:"fencing" description:"refuse orders with an old epoch"`
	StepTime   time.Duration `long:"step-time" default:"5ms" description:"time of one token"`
	MaxBatch   int           `long:"max-batch" default:"32" description:"requests that run at once"`
	LoadSpeed  float64       `long:"load-speed" default:"1e9" description:"bytes a second from the weight store"`
	Starts     float64       `long:"starts" default:"3" description:"loads that the weight store starts in a second"`
	Streams    int           `long:"streams" default:"4" description:"loads that it runs at full speed"`
	Credential string        `long:"credential" description:"bearer token that orders must bring"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	memory, err := humanize.ParseBytes(c.Memory)
	if err != nil {
		return cli.Usage(errors.Wrap(err, "--memory"))
	}
	speeds := standin.DefaultSpeeds()
	for tier := range speeds {
		speeds[tier] *= c.LoadSpeed / 1e9
	}
	engine := standin.NewEngine(standin.EngineParams{
		Name: c.Name, MemoryBytes: int64(memory), Fencing: c.Fencing, StepTime: c.StepTime, MaxBatch: c.MaxBatch,
		Speeds: speeds, Weights: standin.NewWeightStore(c.Starts, c.Streams), Credential: c.Credential,
	})
	return serve(c.Listen, engine.Handler())
}

type serviceCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:9100" description:"address"`
	Name   string        `long:"name" default:"service" description:"name, for its own messages"`
	Work   time.Duration `long:"work" default:"5ms" description:"time of one call"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	service := &standin.Service{Name: c.Name, Work: c.Work}
	return serve(c.Listen, service.Handler())
}
