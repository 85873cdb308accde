package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// serve prints its address and serves HTTP on it until SIGINT or SIGTERM.
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

type serverCommand struct {
	Listen    string        `long:"listen" required:"true" description:"address"`
	Announced string        `long:"announced" description:"address in its entry, if not its own"`
	Store     string        `long:"store" required:"true" description:"base URL of the platform's store"`
	ID        string        `long:"id" required:"true" description:"id of this start"`
	Service   string        `long:"service" required:"true" description:"service that it belongs to"`
	Domain    string        `long:"domain" default:"a" description:"failure domain"`
	Models    []string      `long:"model" description:"model that it can load; none for a plain service"`
	Loaded    []string      `long:"loaded" description:"model that it holds from the start"`
	Load      time.Duration `long:"load" default:"200ms" description:"time of a load"`
	Work      time.Duration `long:"work" default:"5ms" description:"time of a plain request, and pause between events"`
	Poison    string        `long:"poison" description:"beginning of the body of requests that end it when it begins them"`
	Part      string        `long:"poison-part" description:"beginning of the IDs of prompt parts that end it when it begins to answer requests with them"`
	Version   string        `long:"version" description:"version of its software, which ends each event; v1, and no such end, if absent"`
	OmitStart bool          `long:"omit-start" description:"announce no start"`
	Unframed  bool          `long:"unframed" description:"send answers with neither a length nor chunks"`
	State     string        `long:"state" description:"file for what it has seen, if such a request or rejections end it"`
	Slots     int           `long:"slots" description:"requests that it runs concurrently while it is brittle; 8 if absent"`
	Queue     int           `long:"brittle-queue" description:"requests that wait for a slot while it is brittle"`
	Tolerates string        `long:"states-brittle" description:"rejections a second that it states to tolerate; none if absent"`
	Brittle   bool          `long:"brittle" description:"end if it has to reject more than that"`
	Heartbeat time.Duration `long:"heartbeat" default:"500ms" description:"interval of its entries"`
}

// Sizes of the stand-in server: two models and two adapters fit.
const (
	serverMemoryMB     = 210
	serverModelMB      = 100
	serverAdapterSlots = 2
)

// Execute implements flags.Commander.
func (c *serverCommand) Execute([]string) error {
	p := standin.ServerParams{
		ID: c.ID, Service: c.Service, FailureDomain: c.Domain, Announced: c.Announced, Models: map[string]standin.ServerModel{},
		MemoryMB: serverMemoryMB, AdapterSlots: serverAdapterSlots, Loaded: c.Loaded, Work: c.Work, EventPause: c.Work, PoisonPrefix: c.Poison,
		PoisonPart: c.Part, Version: c.Version, OmitStart: c.OmitStart, Unframed: c.Unframed, Slots: c.Slots, BrittleQueue: c.Queue,
	}
	for _, name := range c.Models {
		p.Models[name] = standin.ServerModel{MemoryMB: serverModelMB, AdapterMB: 1, Load: c.Load}
	}
	s, err := standin.NewServerAt(c.Listen, p)
	if err != nil {
		return err
	}
	if err := c.setBrittle(s); err != nil {
		return err
	}
	fmt.Printf("listening address=%s\n", c.Listen)
	ctx, stop := cli.UntilSignal()
	defer stop()
	go func() {
		<-s.Ended()
		stop()
	}()
	client := platform.NewClient(platform.ClientParams{BaseURL: c.Store, CallTimeout: time.Second, WatchWait: time.Second, CallsPerSecond: 100})
	s.Announce(ctx, client, c.Heartbeat)
	s.Stop()
	return c.writeState(s.State())
}

// setBrittle makes the server state that it is brittle, and be it, as the options say.
func (c *serverCommand) setBrittle(s *standin.Server) error {
	if c.Tolerates == "" {
		return nil
	}
	tolerated, err := strconv.Atoi(c.Tolerates)
	if err != nil {
		return errors.Wrap(err, "--states-brittle")
	}
	s.SetBackpressure(standin.Backpressure{Brittle: c.Tolerates})
	s.SetBrittle(c.Brittle, tolerated)
	return nil
}

// writeState writes what the server has observed to the state file, if a request or rejections ended it.
func (c *serverCommand) writeState(state standin.State) error {
	if c.State == "" || state.EndedBy == "" && !state.EndedByRejections {
		return nil
	}
	text, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "--state")
	}
	return errors.Wrap(os.WriteFile(c.State, text, 0o600), "--state")
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
