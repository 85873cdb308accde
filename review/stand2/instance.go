package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of an entry instance, the same on all machines.
const (
	frontendPort = 8149
	readyPort    = 8141
	firstPort    = 7380
	lastPort     = 7395
	metricsPort  = 9464
)

// program is the command of the deploy file.
const program = "target/martenentryd"

// instance is an entry instance, which runs as a process on a loopback address of its own.
type instance struct {
	name, zone, ip string
	dir            string
	store          string
	bounds         string
	process        *exec.Cmd
	ended          chan struct{}
}

// frontend returns the address for clients.
func (i *instance) frontend() string { return fmt.Sprintf("%s:%d", i.ip, frontendPort) }

// settings returns the settings file.
func (i *instance) settings(first bool) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "tallinn"
internalPorts = [%d,%d]
seeds = []
bootstrap = %t
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
ulemiste = "tallinn"
kadaka = "tallinn"
pirita = "tallinn"
[listen]
frontend = %q
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
%s
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, i.name, i.ip, i.zone, firstPort, lastPort, first, i.frontend(), i.ip, readyPort, i.bounds, i.store)
}

// start starts the process. first is whether the whole system starts for the first time.
func (i *instance) start(first bool) error {
	path := filepath.Join(i.dir, i.name+".toml")
	if err := os.WriteFile(path, []byte(i.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.dir, "MARTENPORT_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // ended by a signal
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
}

// kill ends the process and waits until it has ended.
func (i *instance) kill() {
	if i.process == nil {
		return
	}
	i.signal(syscall.SIGKILL)
	<-i.ended
	i.process = nil
}

// isReady reports whether the instance is ready.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports of instances are free.
func freeNetwork() (string, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 60+n%100, 1+(os.Getpid()+n)%250)
		if portsFree(network) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

func portsFree(network string) bool {
	for host := 11; host <= 13; host++ {
		for _, port := range []int{frontendPort, readyPort, firstPort, firstPort + 1, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
