// Command martensoak injects faults into a small fleet of real processes on loopback and checks the
// system's guarantees from the observations of clients and backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/soak"
)

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of one run"`
	Seeds   string        `long:"seeds" description:"A..B: these seeds one after the other"`
	For     time.Duration `long:"for" default:"30s" description:"how long faults are injected"`
	Entries int           `long:"entries" default:"3" description:"entry instances"`
	Engines int           `long:"engines" default:"4" description:"model engines"`
	Plain   int           `long:"plain" default:"4" description:"servers of the two plain services together"`
	Dir     string        `long:"dir" description:"folder for programs and logs; a new one if absent"`
	Entry   string        `long:"entry-program" description:"program of the entry instances, if not the one of this repository"`
	Play    string        `long:"play" description:"play this order of faults instead of drawn ones; all for each in turn"`
}

func main() {
	os.Exit(cli.Finish(run(os.Args[1:]), os.Stderr))
}

func run(args []string) error {
	var o options
	if err := cli.Parse(&o, args); err != nil {
		return err
	}
	first, last, err := o.seeds()
	if err != nil {
		return cli.Usage(err)
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "martensoak-"); err != nil {
			return err
		}
	}
	fmt.Printf("programs and logs in %s\n", o.Dir)
	ctx, stop := cli.UntilSignal()
	defer stop()
	failedSeeds := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		violated, err := o.runOne(ctx, seed)
		if err != nil {
			return err
		}
		if violated {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Newf("%d of %d seeds with a broken promise", failedSeeds, last-first+1)
	}
	return nil
}

// runOne runs one seed, or the chosen plays with it. It reports whether a guarantee was violated.
func (o *options) runOne(ctx context.Context, seed uint64) (bool, error) {
	switch o.Play {
	case "":
		return o.runSeed(ctx, seed)
	case "all":
		violated := false
		for _, name := range soak.PlayNames() {
			joined, err := o.runPlay(ctx, seed, name)
			if err != nil {
				return false, err
			}
			violated = violated || joined
		}
		return violated, nil
	default:
		return o.runPlay(ctx, seed, o.Play)
	}
}

// runPlay runs a play and prints its outcome. It reports whether a stream has events of two versions, or something that is no part of it.
func (o *options) runPlay(ctx context.Context, seed uint64, name string) (bool, error) {
	result, err := soak.RunPlay(ctx, soak.Params{Seed: seed, Dir: o.Dir, EntryProgram: o.Entry}, name)
	if err != nil {
		return false, errors.Wrapf(err, "play %s, seed %d", name, seed)
	}
	fmt.Printf("play=%s seed=%d streams=%d taken_up=%d exposed=%d newer=%d went_on=%d joined=%d invalid=%d\n", name, seed, result.Streams, result.TakenUp, result.Exposed, result.Newer, result.WentOn, len(result.Joined), len(result.Invalid))
	broken := slices.Concat(result.Joined, result.Invalid)
	for _, b := range broken {
		fmt.Println("  BROKEN", b)
	}
	return len(broken) > 0, nil
}

// runSeed runs one seed and prints its outcome, its faults and the violated guarantees. It reports
// whether there were any.
func (o *options) runSeed(ctx context.Context, seed uint64) (bool, error) {
	result, err := soak.Run(ctx, soak.Params{Seed: seed, FaultDuration: o.For, Entries: o.Entries, Engines: o.Engines, PlainServers: o.Plain, Dir: o.Dir, EntryProgram: o.Entry})
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	fmt.Printf("seed=%d faults=%d requests=%d answered=%d refused=%d failed=%d kept_clear=%d repeats=%d engines_ended=%d breaches=%d\n",
		seed, len(result.Faults), result.Requests, result.Answered, result.Refused, result.Failed, result.UndisturbedReused, result.RepeatedSends, result.EnginesCrashed, len(result.Violations))
	for _, f := range result.Faults {
		fmt.Println("  fault", f)
	}
	for _, c := range result.Classes() {
		fmt.Println("  class", c)
	}
	for _, b := range result.Budget {
		fmt.Println("  budget", b)
	}
	for _, b := range result.Violations {
		fmt.Printf("  BROKEN %s: %s\n", b.Guarantee, b.Detail)
	}
	return len(result.Violations) > 0, nil
}

func (o *options) seeds() (first, last uint64, err error) {
	if o.Seeds == "" {
		return o.Seed, o.Seed, nil
	}
	a, b, found := strings.Cut(o.Seeds, "..")
	first, errA := strconv.ParseUint(a, 10, 64)
	last, errB := strconv.ParseUint(b, 10, 64)
	if !found || errA != nil || errB != nil || last < first {
		return 0, 0, errors.Newf("--seeds %q is not A..B with A at most B", o.Seeds)
	}
	return first, last, nil
}
