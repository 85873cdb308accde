package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/entry"
	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/internal/standin"
	"github.com/martenport/martenport/platform"
)

// entriesCommand runs, in one process, entry instances as on the users' platform, with stand-ins
// for the store, the engines and a plain service.
type entriesCommand struct {
	Instances int    `long:"instances" default:"3" description:"entry instances, each in a failure domain of its own; 9 at most"`
	Engines   int    `long:"engines" default:"4" description:"model engines"`
	LogLevel  string `long:"log-level" default:"warning" description:"debug, info, warning or error"`
}

// Addresses and sizes of the embedded deployment. Each instance has its own address, as its own
// machine would.
const (
	entriesStoreAddress  = "127.0.7.1:7000"
	entriesServerIP      = "127.0.7.2"
	entriesClientPort    = "8100"
	entriesReadyPort     = "8101"
	entriesFirstHost     = 10
	entriesOperatorsPort = 7390
	entriesRouteHost     = "models.example"
	entriesModels        = 8
	maxEntries           = 9
	entryHeartbeat       = 500 * time.Millisecond
	loadTime             = time.Second
	// galleryKey is the API key of a workspace with a limit, archiveKey that of one without.
	galleryKey, archiveKey = "gallery-key", "archive-key"
	// The objective of most routes, and that of the route whose callers are patient.
	entriesObjective, patientObjective = 2 * time.Second, 8 * time.Second
	// One engine of slowEngineEvery is slow: it pauses for longer between events.
	slowEngineEvery                   = 4
	usualEventPause, slowerEventPause = 50 * time.Millisecond, 125 * time.Millisecond
	// The bursts that newcomers are told to send.
	patientRequests, patientConcurrency = 600, 150
	urgentRequests, urgentConcurrency   = 100, 8
)

// Execute implements flags.Commander.
func (c *entriesCommand) Execute([]string) error {
	if c.Instances < 1 || c.Instances > maxEntries || c.Engines < 1 {
		return cli.Usage(errors.Newf("--instances %d, --engines %d: give 1 to %d instances and at least one engine", c.Instances, c.Engines, maxEntries))
	}
	ctx, stop := cli.UntilSignal()
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	store := standin.NewPlatform()
	l, err := net.Listen("tcp", entriesStoreAddress)
	if err != nil {
		return err
	}
	storeServer := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = storeServer.Serve(l) }() // runs until the process exits
	if err := c.config().Write(ctx, store); err != nil {
		return err
	}
	if err := c.startServers(ctx, store); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "martendev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for i := range c.Instances {
		if err := c.startInstance(ctx, i, dir, &wg); err != nil {
			return err
		}
	}
	c.describe()
	<-ctx.Done()
	return nil
}

func modelName(i int) string { return fmt.Sprintf("m%d", i+1) }

func (c *entriesCommand) models() map[string]standin.ServerModel {
	models := map[string]standin.ServerModel{}
	for i := range entriesModels {
		models[modelName(i)] = standin.ServerModel{MemoryMB: serverModelMB, AdapterMB: 1, Load: loadTime}
	}
	return models
}

func (c *entriesCommand) config() standin.Config {
	route := func(name, service string, kind standin.RouteKind) standin.Route {
		return standin.Route{
			Name: name, Host: entriesRouteHost, Service: service, Kind: kind, Timeout: 20 * time.Second, Objective: entriesObjective, Attempts: 2,
			Resumable: kind == standin.StreamRoute, Public: kind == standin.SafeRoute,
		}
	}
	patient := route("digest", "engines", standin.StreamRoute)
	patient.Objective, patient.Priority = patientObjective, 3
	return standin.Config{
		Version: 1, PlainServices: []string{"notices"}, EngineService: "engines", Models: c.models(), MemoryMB: serverMemoryMB, AdapterSlots: serverAdapterSlots,
		RemoteLoad: 6 * loadTime, LoadsPerSecond: 3,
		Workspaces: []standin.Workspace{
			{Name: "gallery", Keys: []string{galleryKey}, Rate: 5000, Burst: 5000}, {Name: "archive", Keys: []string{archiveKey}},
		},
		Routes: []standin.Route{
			patient, route("generate", "engines", standin.StreamRoute), route("notice", "notices", standin.UnsafeRoute), route("lookup", "notices", standin.SafeRoute),
		},
	}
}

// startServers starts the engines, each with two loaded models, and a plain service.
func (c *entriesCommand) startServers(ctx context.Context, store *standin.Platform) error {
	params := []standin.ServerParams{{ID: "notices-1", Service: "notices", FailureDomain: "a", Work: 5 * time.Millisecond}}
	for i := range c.Engines {
		eventPause := usualEventPause
		if i%slowEngineEvery == slowEngineEvery-1 {
			eventPause = slowerEventPause
		}
		params = append(params, standin.ServerParams{
			ID: fmt.Sprintf("engine-%d", i+1), Service: "engines", FailureDomain: domain(i % c.Instances), Models: c.models(),
			MemoryMB: serverMemoryMB, AdapterSlots: serverAdapterSlots, EventPause: eventPause,
			Loaded: []string{modelName(2 * i % entriesModels), modelName((2*i + 1) % entriesModels)},
		})
	}
	for _, p := range params {
		s, err := standin.NewServer(entriesServerIP, p)
		if err != nil {
			return err
		}
		go s.Announce(ctx, store, entryHeartbeat)
	}
	return nil
}

func domain(i int) string { return string(rune('a' + i)) }

func entryIP(i int) string { return fmt.Sprintf("127.0.7.%d", entriesFirstHost+i) }

// startInstance starts an instance with a settings file in the platform's format. wg counts the
// running instances.
func (c *entriesCommand) startInstance(ctx context.Context, i int, dir string, wg *sync.WaitGroup) error {
	s := platform.Settings{NodeName: fmt.Sprintf("entry-%d", i+1), IP: entryIP(i), Zone: domain(i), InternalPorts: []int{7380, 7395}}
	s.Listen.Frontend, s.Listen.Ready = net.JoinHostPort(s.IP, entriesClientPort), net.JoinHostPort(s.IP, entriesReadyPort)
	s.Platform.Address = entriesStoreAddress
	s.Bounds = platform.Bounds{
		DrainMS: 2000, GraceS: 8, LeaseMS: 3000, BudgetRatio: 0.2, BudgetWindowS: 10, BudgetExtra: 50, CeilingWindowS: 5,
		RevokeFailClosed: true, RevokeMS: 5000, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 2000,
	}
	if err := s.Check(); err != nil {
		return err
	}
	path := filepath.Join(dir, s.NodeName+".toml")
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.CombineErrors(toml.NewEncoder(file).Encode(s), file.Close()); err != nil {
		return err
	}
	log, err := cli.Log(c.LogLevel, os.Stdout)
	if err != nil {
		return cli.Usage(err)
	}
	instance := entry.New(s, path, entry.Options{OperatorsPort: entriesOperatorsPort}, log)
	wg.Go(func() {
		if err := instance.Run(ctx); err != nil {
			log.WithField("error", err).Error("instance stopped with an error")
		}
	})
	return nil
}

func (c *entriesCommand) describe() {
	fmt.Printf("%d entry instances, clients at %s:%s and on, operators at port %d of the same\n", c.Instances, entryIP(0), entriesClientPort, entriesOperatorsPort)
	fmt.Printf("models %s to %s, two fit on an engine; try (the last one is cold):\n", modelName(0), modelName(entriesModels-1))
	fmt.Printf("  curl -si%s -d prompt http://%s:%s/generate/x\n", curlHeaders("1", modelName(entriesModels-1), galleryKey), entryIP(0), entriesClientPort)
	fmt.Printf("  go run ./cmd/martenctl --server http://%s:%d status\n", entryIP(0), entriesOperatorsPort)
	fmt.Printf("  go run ./cmd/martenctl --server http://%s:%d workspaces\n", entryIP(0), entriesOperatorsPort)
	fmt.Printf("a burst of patient callers, of more than the engines serve, and urgent callers beside it, with counts by status:\n")
	printBurst("digest", patientRequests, patientConcurrency)
	printBurst("generate", urgentRequests, urgentConcurrency)
	fmt.Printf("who has the engines meanwhile (engine-%d and each %dth are slow, which is learnt from streams):\n", slowEngineEvery, slowEngineEvery)
	fmt.Printf("  go run ./cmd/martenctl --server http://%s:%d capacity\n", entryIP(0), entriesOperatorsPort)
}

// printBurst prints a command that sends requests for one model to a route and counts the answers by status.
func printBurst(route string, requests, concurrency int) {
	fmt.Printf("  seq %d | xargs -P %d -I{} curl -s -o /dev/null -w '%s %%{http_code}\\n'%s -d 'item {}' http://%s:%s/%s/x | sort | uniq -c &\n",
		requests, concurrency, route, curlHeaders(route+"-{}", modelName(0), archiveKey), entryIP(0), entriesClientPort, route)
}

// curlHeaders returns the arguments of curl for the headers of a request.
func curlHeaders(id, model, key string) string {
	header := standin.ClientHeader(id, model, 0)
	header.Set(standin.KeyHeader, key)
	arguments := fmt.Sprintf(" -H 'Host: %s'", entriesRouteHost)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		arguments += fmt.Sprintf(" -H '%s: %s'", name, header.Get(name))
	}
	return arguments
}
