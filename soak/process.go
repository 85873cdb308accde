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

// process is a program that the soak starts, and may restart.
type process struct {
	name string
	path string
	args func() []string
	logs string

	mu     sync.Mutex
	cmd    *exec.Cmd     // guarded by mu; nil while the program does not run
	ended  chan struct{} // closed when cmd has ended; guarded by mu
	starts int           // guarded by mu
	frozen bool          // guarded by mu
	// signals counts the signals sent other than SIGHUP, and terminating reports whether SIGTERM or SIGKILL was
	// sent to the current start; guarded by mu.
	signals       int
	terminating   bool
	lastDisturbed time.Time // when the program was last started or sent a signal; guarded by mu
}

// start starts the program unless it runs. Its output is appended to its own log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: open log file")
	}
	cmd := exec.Command(p.path, p.args()...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a killed soak leaves no processes behind
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	p.starts++
	p.terminating, p.lastDisturbed = false, time.Now()
	go func() {
		_ = cmd.Wait() // the cause of the exit is in the log
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cmd, p.frozen = nil, false
		close(ended)
	}()
	return nil
}

// running reports whether the program runs.
func (p *process) running() bool {
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
		p.signals++ // counted before it is sent, so that its effect is never seen without the count
	}
	p.lastDisturbed = time.Now()
	p.terminating = p.terminating || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // the process may just have exited
	switch s {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
}

// stop sends a signal to the program and waits for its exit, resuming it first if it is frozen. After limit it is
// killed.
func (p *process) stop(s syscall.Signal, limit time.Duration) {
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
