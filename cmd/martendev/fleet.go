package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/daemon"
	"github.com/martenport/martenport/declaration"
	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/internal/deployments"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/settings"
)

// fleetOptions are the flags of the embedded fleet.
type fleetOptions struct {
	Deployment string  `long:"deployment" choice:"pulmapilt" choice:"association" default:"pulmapilt" description:"whose declaration to run"`
	Once       bool    `long:"once" description:"send a burst for ten cold models to all instances, print one line and exit"`
	LoadSpeed  float64 `long:"load-speed" default:"30e9" description:"bytes a second from the weight store; the real one is slower"`
	Verbose    bool    `long:"verbose" description:"log every event"`
}

// instancesPerDomain is the number of instances in each failure domain.
const instancesPerDomain = 2

// fleet is a complete deployment in one process that communicates over loopback sockets.
type fleet struct {
	declared  *declaration.Declaration
	platform  *standin.Platform
	engines   map[string]*standin.Engine
	instances []*daemon.Daemon
	addresses map[string]string
	servers   []*http.Server
	running   sync.WaitGroup
	stop      context.CancelFunc
}

func (o *fleetOptions) run() error {
	source, err := deployments.Source(o.Deployment)
	if err != nil {
		return cli.Usage(err)
	}
	ctx, stop := cli.UntilSignal()
	defer stop()
	f, err := o.start(ctx, source)
	if err != nil {
		return err
	}
	defer f.close()
	if o.Once {
		return f.once(ctx, os.Stdout)
	}
	f.describe(os.Stdout)
	<-ctx.Done()
	return nil
}

// start starts the fleet, declares source and waits until every engine has an orderer.
func (o *fleetOptions) start(ctx context.Context, source []byte) (*fleet, error) {
	declared, err := declaration.Parse(o.Deployment, source)
	if err != nil {
		return nil, err
	}
	f := &fleet{declared: declared, platform: standin.NewPlatform(), engines: map[string]*standin.Engine{}, addresses: map[string]string{}}
	platformAddress, err := f.serve(f.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := f.startBackends(o.LoadSpeed); err != nil {
		return nil, err
	}
	if err := f.startInstances("http://"+platformAddress, o.log()); err != nil {
		return nil, err
	}
	if err := f.declare(ctx, deployments.WithAddresses(source, declared, f.addresses)); err != nil {
		return nil, err
	}
	return f, f.awaitOrderers(ctx)
}

func (o *fleetOptions) log() *logrus.Logger {
	log, err := cli.Log("info", os.Stderr)
	if err != nil || !o.Verbose {
		log = logrus.New()
		log.SetOutput(io.Discard)
	}
	return log
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Speeds of the stand-in engines and services.
const (
	stepTime    = 2 * time.Millisecond
	maxBatch    = 32
	serviceWork = 5 * time.Millisecond
)

func (f *fleet) startBackends(loadSpeed float64) error {
	weights := standin.NewWeightStore(f.declared.WeightStore.StartsPerSecond, f.declared.WeightStore.Streams)
	speeds := standin.DefaultSpeeds()
	for tier := range speeds {
		speeds[tier] *= loadSpeed / 1e9
	}
	for _, e := range f.declared.Engines {
		engine := standin.NewEngine(standin.EngineParams{
			Name: e.Name, MemoryBytes: int64(e.Memory), Fencing: e.Fencing,
			StepTime: stepTime, MaxBatch: maxBatch, Speeds: speeds, Weights: weights,
		})
		address, err := f.serve(engine.Handler())
		if err != nil {
			return err
		}
		f.engines[e.Name], f.addresses[e.Name] = engine, address
	}
	for _, s := range f.declared.Services {
		for _, b := range s.Instances {
			service := &standin.Service{Name: b.Name, Work: serviceWork}
			address, err := f.serve(service.Handler())
			if err != nil {
				return err
			}
			f.addresses[b.Name] = address
		}
	}
	return nil
}

func (f *fleet) startInstances(platformURL string, log *logrus.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, domain := range f.declared.FailureDomains {
		for i := range instancesPerDomain {
			s, err := defaults()
			if err != nil {
				return err
			}
			s.Name, s.FailureDomain = fmt.Sprintf("%s-%d", domain, i+1), domain
			s.Listen, s.OperatorListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			s.PlatformURL = platformURL
			s.Settle, s.Tick = 500*time.Millisecond, 200*time.Millisecond
			d, err := daemon.New(s, log)
			if err != nil {
				return err
			}
			f.instances = append(f.instances, d)
			f.running.Go(func() { _ = d.Run(ctx) })
		}
	}
	return nil
}

// defaults returns the settings without any flags.
func defaults() (settings.Settings, error) {
	var s settings.Settings
	err := cli.Parse(&s, nil)
	return s, err
}

func (f *fleet) operator(d *daemon.Daemon) martenportv1connect.OperatorServiceClient {
	return martenportv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+d.OperatorAddress())
}

func (f *fleet) declare(ctx context.Context, source []byte) error {
	client := f.operator(f.instances[0])
	plan, err := client.Plan(ctx, connect.NewRequest(&martenportv1.PlanRequest{Declaration: source}))
	if err != nil {
		return err
	}
	_, err = client.Confirm(ctx, connect.NewRequest(&martenportv1.ConfirmRequest{
		PlanId: plan.Msg.PlanId, BaseGeneration: plan.Msg.BaseGeneration, Declaration: source,
	}))
	return err
}

// startTimeout bounds the wait for every engine to have an orderer.
const startTimeout = 30 * time.Second

// awaitOrderers waits until every instance knows an orderer for every engine.
func (f *fleet) awaitOrderers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range f.instances {
		for !f.knowsOrderers(ctx, d) {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return errors.Newf("engines have no orderers after %v", startTimeout)
			}
		}
	}
	return nil
}

func (f *fleet) knowsOrderers(ctx context.Context, d *daemon.Daemon) bool {
	status, err := f.operator(d).GetStatus(ctx, connect.NewRequest(&martenportv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	ordered := 0
	for _, e := range status.Msg.Engines {
		if e.Orderer != "" {
			ordered++
		}
	}
	return ordered == len(f.declared.Engines)
}

func (f *fleet) describe(w io.Writer) {
	for _, d := range f.instances {
		fmt.Fprintf(w, "instance callers=http://%s operators=http://%s\n", d.CallerAddress(), d.OperatorAddress())
	}
	model := f.declared.Models[0].Name
	fmt.Fprintf(w, "\ntry:\n  curl -s -H 'Content-Type: application/json' -d '{\"model\":%q,\"prompt\":\"hello\",\"maxTokens\":8}' http://%s/martenport.v1.InferenceService/Generate\n",
		model, f.instances[0].CallerAddress())
	fmt.Fprintf(w, "  go run ./cmd/martenctl --server http://%s status\n", f.instances[0].OperatorAddress())
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
}
