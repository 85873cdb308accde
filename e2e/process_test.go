// Package e2e runs martenport as separate processes over loopback sockets and
// kills, freezes and cuts them. Waiting is always for an event, with a limit
// far above what it takes, so that a slow machine changes no verdict.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	martenportv1 "github.com/martenport/martenport/api/martenport/v1"
	"github.com/martenport/martenport/api/martenport/v1/martenportv1connect"
	"github.com/martenport/martenport/internal/standin"
)

// limit is the longest wait for anything before a test fails.
const limit = 60 * time.Second

// binaries is where TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "martenport-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/martenport/martenport/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	exit chan error
}

// start runs a program until the test ends and returns its first output line
// that holds want.
func start(t *testing.T, want, program string, args ...string) (*process, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	r, w := io.Pipe()
	cmd.Stdout, cmd.Stderr = w, w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: cmd, exit: make(chan error, 1)}
	go func() {
		p.exit <- cmd.Wait()
		_ = w.Close()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	})
	lines := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(r)
		found := false
		for scanner.Scan() {
			if !found && strings.Contains(scanner.Text(), want) {
				lines <- scanner.Text()
				found = true
			}
		}
	}()
	select {
	case line := <-lines:
		return p, line
	case <-time.After(limit):
		t.Fatalf("%s: no line with %q", program, want)
		return nil, ""
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// fleet is one engine and instance a failure domain, the platform and a plain
// service, all processes.
type fleet struct {
	t         *testing.T
	platform  string
	platformP *process
	engines   map[string]string
	engineP   map[string]*process
	services  string
	instances map[string]*instance
	// tailWeight of the declaration.
	tailWeight float64
}

type instance struct {
	*process
	name, callers, operators, peers string
}

var domains = []string{"a", "b", "c"}

// newFleet starts a fleet whose engines load at speed bytes a second.
func newFleet(t *testing.T, fencing bool, speed string) *fleet {
	t.Helper()
	f := &fleet{t: t, engines: map[string]string{}, engineP: map[string]*process{}, instances: map[string]*instance{}, tailWeight: 0.5}
	p, line := start(t, "address=", "martendev", "platform", "--listen", "127.0.0.1:0")
	f.platformP, f.platform = p, addressIn(line)
	_, line = start(t, "address=", "martendev", "service", "--listen", "127.0.0.1:0")
	f.services = addressIn(line)
	for _, d := range domains {
		args := []string{"engine", "--listen", "127.0.0.1:0", "--memory", "80GiB", "--step-time", "1ms", "--load-speed", speed}
		if fencing {
			args = append(args, "--fencing")
		}
		f.engineP[d], line = start(t, "address=", "martendev", args...)
		f.engines[d] = addressIn(line)
	}
	for _, d := range domains {
		f.startInstance("i-"+d, d)
	}
	return f
}

func addressIn(line string) string {
	_, rest, _ := strings.Cut(line, "address=")
	return strings.Fields(rest)[0]
}

// freeAddress returns a loopback address that nobody listens on, and that is left alone
// until a process of the test does.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(standin.OwnIP(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) startInstance(name, domain string) *instance {
	f.t.Helper()
	i := &instance{name: name, callers: freeAddress(f.t), operators: freeAddress(f.t), peers: freeAddress(f.t)}
	i.process, _ = start(f.t, "event=start", "martenportd",
		"--name", name, "--failure-domain", domain, "--listen", i.callers, "--operator-listen", i.operators,
		"--peer-listen", i.peers, "--platform-url", "http://"+f.platform, "--settle", "500ms", "--tick", "200ms")
	f.instances[name] = i
	return i
}

// declaration returns YAML with the fleet's engines and the given models.
func (f *fleet) declaration(fencing bool, models ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "failureDomains: [a, b, c]\ntailWeight: %v\nweightStore: {startsPerSecond: 3, streams: 4}\nengines:\n", f.tailWeight)
	for _, d := range domains {
		fmt.Fprintf(&b, "  - {name: e-%s, failureDomain: %s, address: %q, memory: 80GiB, fencing: %t}\n", d, d, f.engines[d], fencing)
	}
	fmt.Fprintf(&b, "services:\n  - name: notices\n    deadline: 10s\n    methods: [{name: confirm, idempotent: false}, {name: lookup, idempotent: true}]\n")
	fmt.Fprintf(&b, "    instances: [{name: s-a, failureDomain: a, address: %q}]\nmodels:\n", f.services)
	for _, m := range models {
		fmt.Fprintf(&b, "  - %s\n", m)
	}
	return b.String()
}

// accept has martenctl plan and confirm a declaration at an instance.
func (f *fleet) accept(i *instance, yaml string) {
	f.t.Helper()
	file := filepath.Join(f.t.TempDir(), "declaration.yaml")
	if err := os.WriteFile(file, []byte(yaml), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var plan struct {
		PlanID         string `json:"plan_id"`
		BaseGeneration string `json:"base_generation"`
	}
	out := f.martenctl(i, "plan", "-f", file, "-o", "json")
	if err := json.Unmarshal(out, &plan); err != nil {
		f.t.Fatalf("%v: %s", err, out)
	}
	f.martenctl(i, "confirm", "-f", file, "--plan", plan.PlanID, "--base", plan.BaseGeneration)
}

func (f *fleet) martenctl(i *instance, args ...string) []byte {
	f.t.Helper()
	args = append([]string{"--server", "http://" + i.operators}, args...)
	out, err := exec.Command(filepath.Join(binaries, "martenctl"), args...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("martenctl %v: %v: %s", args, err, out)
	}
	return out
}

// status asks an instance; nil when it does not answer.
func (i *instance) status() *martenportv1.GetStatusResponse {
	client := martenportv1connect.NewOperatorServiceClient(&http.Client{Timeout: 2 * time.Second}, "http://"+i.operators)
	s, err := client.GetStatus(context.Background(), connect.NewRequest(&martenportv1.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return s.Msg
}

// await waits until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitOrdered waits until every living instance knows a living orderer for
// every engine.
func (f *fleet) awaitOrdered(names ...string) {
	f.t.Helper()
	for _, name := range names {
		await(f.t, "orderers of all engines known at "+name, func() bool {
			s := f.instances[name].status()
			n := 0
			for _, e := range s.GetEngines() {
				if e.Orderer != "" {
					n++
				}
			}
			return n == len(f.engines)
		})
	}
}

func (i *instance) generate(timeout time.Duration, req *martenportv1.GenerateRequest) (*martenportv1.GenerateResponse, error) {
	client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+i.callers)
	req.TimeoutMs = timeout.Milliseconds()
	answer, err := client.Generate(context.Background(), connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// tally asks a stand-in engine for its counts.
func (f *fleet) tally(domain string) standin.Tally {
	f.t.Helper()
	var out standin.Tally
	resp, err := http.Get("http://" + f.engines[domain] + "/tally")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

func (f *fleet) loads() int {
	n := 0
	for _, d := range domains {
		n += f.tally(d).Loads
	}
	return n
}

// call sends one call to the stand-in plain service.
func (i *instance) call(method, body, key string) (string, error) {
	client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+i.callers)
	answer, err := client.Call(context.Background(), connect.NewRequest(&martenportv1.CallRequest{
		Service: "notices", Method: method, Body: []byte(body), Key: key, Caller: "carrier",
	}))
	if err != nil {
		return "", err
	}
	return string(answer.Msg.Body), nil
}

// serviceRuns asks the stand-in plain service how often it ran a body.
func (f *fleet) serviceRuns(body string) int {
	f.t.Helper()
	resp, err := http.Get("http://" + f.services + "/runs")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	runs := map[string]int{}
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		f.t.Fatal(err)
	}
	return runs[body]
}
