package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one program that the soak has started, and may start again.
type process struct {
	name string
	path string
	args func() []string
	logs string

	mu     sync.Mutex
	cmd    *exec.Cmd     // guarded by mu; nil while it does not run
	ended  chan struct{} // closed when cmd has ended; guarded by mu
	starts int           // guarded by mu
	frozen bool          // guarded by mu
	// signals counts those that stop, freeze or end the program, and ending is
	// whether one that ends it was sent to this start; guarded by mu.
	signals int
	ending  bool
	touched time.Time // when it was last started or got a signal; guarded by mu
}

// start starts the program unless it runs. Its output goes to a file of its own.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	cmd := exec.Command(p.path, p.args()...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a soak that is killed leaves nothing behind
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	p.starts++
	p.ending, p.touched = false, time.Now()
	go func() {
		_ = cmd.Wait() // how it ended shows in its log
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cmd, p.frozen = nil, false
		close(ended)
	}()
	return nil
}

// runs reports whether the program runs.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// signal sends a signal to the program if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s != syscall.SIGHUP {
		p.signals++ // before the signal, so that nobody sees its effect without it
	}
	p.touched = time.Now()
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // it may have ended just now
	switch s {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
}

// end stops the program with a signal and waits; one that outlasts limit is
// killed.
func (p *process) end(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	ended, running := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-ended:
		return
	case <-time.After(limit):
	}
	p.signal(syscall.SIGKILL)
	<-ended
}

// build builds the programs that a soak runs into dir.
func build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/martenentryd", "./cmd/martendev")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "soak: build: %s", strings.TrimSpace(string(out)))
}
