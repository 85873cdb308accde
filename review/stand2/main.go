// Command stand2 runs one script case of the second review: it starts entry instances as processes, and has stand-ins for the
// platform's store, the servers and the clients. It exits with 1 if the case's rule was broken, with 0 if it held, and with 2
// if the case could not be run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// maxPrinted bounds what is printed of how the rule was broken; the record has all.
const maxPrinted = 3

// deployment is what a case runs on.
type deployment struct {
	ctx       context.Context
	log       *record
	store     *objectStore
	network   string
	instances []*instance
	// statuses are those of the answers to requests of askAlways; guarded by mu.
	mu       sync.Mutex
	statuses []int
	// second is the machine that took the lease while the holder was frozen.
	second string
	// trouble is whether the case's disruption is played.
	trouble bool
}

// cases are the cases by name. Each returns descriptions of how its rule was broken.
var cases = map[string]func(*deployment) ([]string, error){
	"revoked-restart": revokedRestart,
	"revoked-deaf":    revokedDeaf,
	"late-order":      lateOrder,
	"same-fence":      sameFence,
	"works-on":        worksOn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not be run:", err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
}

// play runs a case with its record in a folder.
func play(name, folder string) (broken []string, err error) {
	log, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{ctx: ctx, log: log, store: newStore(log), network: network, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.end()
	l, err := net.Listen("tcp", d.address(1)+":0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, d.store) }() // runs until the process exits
	for n, zone := range []string{"ulemiste", "kadaka", "pirita"} {
		d.instances = append(d.instances, &instance{name: "edge-" + zone + "-1", zone: zone, ip: d.address(11 + n), dir: dir, store: l.Addr().String()})
	}
	broken, err = cases[name](d)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	for n, b := range broken {
		if n < maxPrinted {
			log.say("BROKEN: %s", b)
		} else {
			log.add("BROKEN: %s", b)
		}
	}
	log.say("case %s, disruption %t: %d times broken", name, d.trouble, len(broken))
	return broken, nil
}

func (d *deployment) address(host int) string { return fmt.Sprintf("%s.%d", d.network, host) }

// start starts all instances with the given bounds, and waits until they are ready.
func (d *deployment) start(bounds string) error {
	for _, i := range d.instances {
		i.bounds = bounds
		if err := i.start(true); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if !d.await(15*time.Second, i.isReady) {
			return fmt.Errorf("%s does not become ready", i.name)
		}
	}
	d.log.add("all instances are ready")
	return nil
}

// await waits until a condition holds, and reports whether it does.
func (d *deployment) await(longest time.Duration, holds func() bool) bool {
	for until := time.Now().Add(longest); time.Now().Before(until) && d.ctx.Err() == nil; d.pause(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// pause waits.
func (d *deployment) pause(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// end ends all processes.
func (d *deployment) end() {
	for _, i := range d.instances {
		i.signal(syscall.SIGCONT)
		i.kill()
	}
}
