package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// command is the program of the deploy file, relative to the root of the repository.
const command = "target/martenentryd"

// settingsVariable holds the path of the settings file.
const settingsVariable = "MARTENPORT_CONFIG"

// Ports of the instances' machines and of the store.
const (
	frontendPort = 8149
	readyPort    = 8141
	controlPort  = 8144
	firstPort    = 7380
	lastPort     = 7395
	metricsPort  = 9464
	storePort    = 8142
	serverPort   = 8080
)

// memoryMB is the memory of a machine of the small deployment.
const memoryMB = 284

// Fleet is a small deployment: a store, backend servers, and entry instances as processes.
type Fleet struct {
	Store  *Store
	record *Record
	net    string
	dir    string
	zones  []string

	mu        sync.Mutex
	instances []*Instance
	servers   []*http.Server
	stop      context.CancelFunc
	ctx       context.Context
}

// NewFleet starts a store on a free loopback network.
func NewFleet(record *Record, zones ...string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: NewStore(), record: record, dir: dir, zones: zones}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for try := range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+try, 1+os.Getpid()%250)
		l, err := net.Listen("tcp", f.Address(200, storePort))
		if err == nil {
			f.serve(l, f.Store)
			return f, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// Address returns the address of a machine of the fleet.
func (f *Fleet) Address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.net, machine, port)
}

func (f *Fleet) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ConnContext: connContext}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return s
}

// Instance is one entry instance: a machine, and the process that runs there now.
type Instance struct {
	Name, Zone string
	number     int
	fleet      *Fleet
	bootstrap  bool

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// lines are the log lines of all its processes.
	lines []string
}

// settings returns the settings file of the instance, like that of a machine of a small deployment.
func (i *Instance) settings() string {
	f, ip := i.fleet, fmt.Sprintf("%s.%d", i.fleet.net, i.number)
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName = %q\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\nip = %q\nzone = %q\nregion = \"r\"", i.Name, ip, i.Zone)
	line("internalPorts = [%d,%d]\nseeds = []\nbootstrap = %v\nfaultCounted = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200", firstPort, lastPort, i.bootstrap)
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"]\n[zones]")
	for _, z := range f.zones {
		line("%s = \"r\"", z)
	}
	line("[listen]\nfrontend = \"%s:%d\"\nready = \"%s:%d\"\ncontrolPlane = \"%s:%d\"", ip, frontendPort, ip, readyPort, ip, controlPort)
	line("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0", memoryMB)
	line("[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityMs = 3000\nackMs = 4000\ncatchUpS = 4")
	line("drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nouterMs = 5000\nbudgetRatio = 0.2\nbudgetWindowS = 10")
	line("budgetExtra = 54\nrecoverS = 12\npassMs = 120\nretryS = 0\nfencingEnforced = false\nleaseMs = 3000\nthawMs = 300\nceilingWindowS = 5\nceilingOverage = 1.1")
	line("[platform]\naddress = %q\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000", f.Address(200, storePort))
	return b.String()
}

// AddInstance starts an instance in a failure domain.
func (f *Fleet) AddInstance(zone string) (*Instance, error) {
	f.mu.Lock()
	i := &Instance{number: 10 + len(f.instances), Zone: zone, fleet: f, bootstrap: true}
	i.Name = fmt.Sprintf("edge-%s-%d", zone, i.number)
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	return i, i.Start()
}

// Start starts a process of the instance.
func (i *Instance) Start() error {
	path := filepath.Join(i.fleet.dir, i.Name+".toml")
	if err := os.WriteFile(path, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	i.bootstrap = false
	cmd := exec.Command(command)
	cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	ended := make(chan struct{})
	i.process, i.ended = cmd, ended
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			i.mu.Lock()
			i.lines = append(i.lines, lines.Text())
			i.mu.Unlock()
		}
		_ = cmd.Wait()
		close(ended)
	}()
	i.fleet.record.Note("process of %s started: pid %d", i.Name, cmd.Process.Pid)
	return nil
}

// Kill ends the current process with SIGKILL and waits for its end.
func (i *Instance) Kill() {
	i.mu.Lock()
	process, ended := i.process, i.ended
	i.mu.Unlock()
	i.fleet.record.Note("process of %s killed: pid %d", i.Name, process.Process.Pid)
	_ = process.Process.Kill()
	<-ended
}

// Lines returns the log lines that contain text.
func (i *Instance) Lines(text string) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var found []string
	for _, l := range i.lines {
		if strings.Contains(l, text) {
			found = append(found, l)
		}
	}
	return found
}

// Frontend returns the address for requesters.
func (i *Instance) Frontend() string { return i.fleet.Address(i.number, frontendPort) }

// Ready reports whether the instance says that it is ready.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.fleet.Address(i.number, readyPort) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	f.mu.Lock()
	instances := f.instances
	f.mu.Unlock()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range instances {
			if i.Ready() {
				ready++
			}
		}
		if ready == len(instances) {
			f.record.Note("all instances are ready")
			return nil
		}
	}
	return errors.New("the instances are not ready in time")
}

// Close ends all processes and servers, and removes the temporary folder.
func (f *Fleet) Close() {
	f.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		i.mu.Lock()
		process, ended := i.process, i.ended
		i.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-ended
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}
