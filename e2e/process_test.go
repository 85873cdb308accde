// Package e2e runs martenport as separate processes over loopback sockets, and kills and freezes them (SIGSTOP). Tests
// wait for events, with a timeout far above the usual duration, so that a slow machine does not change the result.
//
// Each engine has an orderer: the only instance that may send it load and unload orders. The orderers are recorded in
// the platform, the store that the instances share. If an orderer is lost, another instance takes over its engines.
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

// waitTimeout is the maximum wait for any event before a test fails.
const waitTimeout = 60 * time.Second

// binaries is the directory in which TestMain builds the programs.
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
	if err := replaceEntryProgram(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	exit chan error
}

// startProcess starts a program that runs until the test ends, and returns the first line of its output that
// contains want.
func startProcess(t *testing.T, want, program string, args ...string) (*process, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	r, w := io.Pipe()
	cmd.Stdout, cmd.Stderr = w, w
	log := processLog(t, program)
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
		scanner := bufio.NewScanner(io.TeeReader(r, log))
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
	case <-time.After(waitTimeout):
		t.Fatalf("%s: no output line with %q", program, want)
		return nil, ""
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// fleet consists of the platform, a server of a service without models, and one engine and one instance per failure
// domain, each in a process of its own. Tests may add instances.
type fleet struct {
	t               *testing.T
	platformAddress string
	platformProcess *process
	engineAddresses map[string]string
	engineProcesses map[string]*process
	serviceAddress  string
	instances       map[string]*instance
	// tailWeight is the setting tailWeight of the declaration; 0 has idle models unloaded immediately.
	tailWeight float64
}

// instance is an entry instance and the addresses on which it listens.
type instance struct {
	*process
	name, clientAddress, operatorAddress, peerAddress string
}

// domains are the failure domains. Each has an engine e-DOMAIN and an instance i-DOMAIN.
var domains = []string{"a", "b", "c"}

// newFleet starts a fleet whose engines load at speed bytes per second. With fencing they reject orders with an old
// fencing token, otherwise they ignore the tokens.
func newFleet(t *testing.T, fencing bool, speed string) *fleet {
	t.Helper()
	f := &fleet{t: t, engineAddresses: map[string]string{}, engineProcesses: map[string]*process{}, instances: map[string]*instance{}, tailWeight: 0.5}
	p, line := startProcess(t, "address=", "martendev", "platform", "--listen", "127.0.0.1:0")
	f.platformProcess, f.platformAddress = p, addressIn(line)
	_, line = startProcess(t, "address=", "martendev", "service", "--listen", "127.0.0.1:0")
	f.serviceAddress = addressIn(line)
	for _, d := range domains {
		args := []string{"engine", "--listen", "127.0.0.1:0", "--memory", "80GiB", "--step-time", "1ms", "--load-speed", speed}
		if fencing {
			args = append(args, "--fencing")
		}
		f.engineProcesses[d], line = startProcess(t, "address=", "martendev", args...)
		f.engineAddresses[d] = addressIn(line)
	}
	for _, d := range domains {
		f.startInstance("i-"+d, d)
	}
	return f
}

// addressIn returns the address in a line of log output.
func addressIn(line string) string {
	_, rest, _ := strings.Cut(line, "address=")
	return strings.Fields(rest)[0]
}

// freeAddress returns a loopback address on which nothing listens and that only the test's processes use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(standin.UniqueLoopbackIP(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startInstance starts an instance in a failure domain and adds it to the fleet.
func (f *fleet) startInstance(name, domain string) *instance {
	f.t.Helper()
	i := &instance{name: name, clientAddress: freeAddress(f.t), operatorAddress: freeAddress(f.t), peerAddress: freeAddress(f.t)}
	i.process, _ = startProcess(f.t, "event=start", "martenportd",
		"--name", name, "--failure-domain", domain, "--listen", i.clientAddress, "--operator-listen", i.operatorAddress,
		"--peer-listen", i.peerAddress, "--platform-url", "http://"+f.platformAddress, "--settle", "500ms", "--tick", "200ms")
	f.instances[name] = i
	return i
}

// declaration returns YAML with the fleet's engines and service and the given models.
func (f *fleet) declaration(fencing bool, models ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "failureDomains: [a, b, c]\ntailWeight: %v\nweightStore: {startsPerSecond: 3, streams: 4}\nengines:\n", f.tailWeight)
	for _, d := range domains {
		fmt.Fprintf(&b, "  - {name: e-%s, failureDomain: %s, address: %q, memory: 80GiB, fencing: %t}\n", d, d, f.engineAddresses[d], fencing)
	}
	fmt.Fprintf(&b, "services:\n  - name: notices\n    deadline: 10s\n    methods: [{name: confirm, idempotent: false}, {name: lookup, idempotent: true}]\n")
	fmt.Fprintf(&b, "    instances: [{name: s-a, failureDomain: a, address: %q}]\nmodels:\n", f.serviceAddress)
	for _, m := range models {
		fmt.Fprintf(&b, "  - %s\n", m)
	}
	return b.String()
}

// applyDeclaration plans and confirms a declaration at an instance with martenctl.
func (f *fleet) applyDeclaration(i *instance, yaml string) {
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

// martenctl runs martenctl against the instance's operator address and returns its output.
func (f *fleet) martenctl(i *instance, args ...string) []byte {
	f.t.Helper()
	args = append([]string{"--server", "http://" + i.operatorAddress}, args...)
	out, err := exec.Command(filepath.Join(binaries, "martenctl"), args...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("martenctl %v: %v: %s", args, err, out)
	}
	return out
}

// status returns the status of an instance, or nil if it does not answer.
func (i *instance) status() *martenportv1.GetStatusResponse {
	client := martenportv1connect.NewOperatorServiceClient(&http.Client{Timeout: 2 * time.Second}, "http://"+i.operatorAddress)
	s, err := client.GetStatus(context.Background(), connect.NewRequest(&martenportv1.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return s.Msg
}

// await waits until the condition holds, and fails the test after waitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitOrderersKnown waits until each of the named instances knows an orderer for every engine.
func (f *fleet) awaitOrderersKnown(names ...string) {
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
			return n == len(f.engineAddresses)
		})
	}
}

// generate sends an inference request to the instance. The request's deadline is timeout from now.
func (i *instance) generate(timeout time.Duration, req *martenportv1.GenerateRequest) (*martenportv1.GenerateResponse, error) {
	client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+i.clientAddress)
	req.TimeoutMs = timeout.Milliseconds()
	answer, err := client.Generate(context.Background(), connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// tally returns the counters of the stand-in engine in a failure domain.
func (f *fleet) tally(domain string) standin.Tally {
	f.t.Helper()
	var out standin.Tally
	resp, err := http.Get("http://" + f.engineAddresses[domain] + "/tally")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		f.t.Fatal(err)
	}
	return out
}

// loadCount returns the number of loads of all engines together.
func (f *fleet) loadCount() int {
	n := 0
	for _, d := range domains {
		n += f.tally(d).Loads
	}
	return n
}

// call calls a method of the stand-in service through the instance. key is the idempotency key.
func (i *instance) call(method, body, key string) (string, error) {
	client := martenportv1connect.NewInferenceServiceClient(http.DefaultClient, "http://"+i.clientAddress)
	answer, err := client.Call(context.Background(), connect.NewRequest(&martenportv1.CallRequest{
		Service: "notices", Method: method, Body: []byte(body), Key: key, Caller: "carrier",
	}))
	if err != nil {
		return "", err
	}
	return string(answer.Msg.Body), nil
}

// serviceRuns returns how often the stand-in service ran a call with the given body.
func (f *fleet) serviceRuns(body string) int {
	f.t.Helper()
	resp, err := http.Get("http://" + f.serviceAddress + "/runs")
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
