package soaker

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/platform"
	"savoryroad.dev/platform/standin"
)

// Ports of the entries, on an IP address of its own for each entry.
const (
	callerPort    = 8601
	readinessPort = 8602
	peerPort      = 8610
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// restartDelay is the time from the exit of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// bounds holds the platform bounds in the settings of every entry, with values
// for a small deployment.
var bounds = platform.Bounds{
	Grace: gracePeriod, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 20, WarmupExcess: 1.5, WarmupSlack: 5,
}

// process runs an entry as an operating system process and restarts it whenever
// it exits.
type process struct {
	program, dir string
	settings     standin.Process
	// store is the proxy between this entry and the store.
	store *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the starts.
	incarnation int
	// unstableUntil is the time before which time bounds and graceful shutdown
	// are not checked, because of a fault or a restart.
	unstableUntil time.Time
	// terminating is set between a SIGTERM and the exit of the process.
	terminating bool
	// stopRequested is set once the current incarnation was sent a SIGTERM or a
	// SIGKILL.
	stopRequested bool
	// closed prevents further starts.
	closed bool
	// exited is closed when the current incarnation has exited.
	exited chan struct{}
	// unexpectedExits counts the exits without a stopRequested, forcedKills the
	// kills after the grace period.
	unexpectedExits, forcedKills int
	// restartErr is the error of a failed restart, after which the process is
	// not started again.
	restartErr error
}

func (p *process) settingsFile() string {
	return filepath.Join(p.dir, p.settings.Name+".toml")
}

// start starts the next incarnation of the process, unless the process is
// closed. The output of all incarnations is appended to the same log file.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.dir, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of an entry")
	}
	defer out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.cmd = exec.Command(p.program, "serve", "--settings", filepath.Join(p.dir, "entry.yaml"))
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsFile())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.incarnation++
	p.terminating, p.stopRequested = false, false
	p.exited = make(chan struct{})
	fmt.Fprintf(out, "{\"Message\":\"incarnation %d\"}\n", p.incarnation)
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start an entry")
	}
	go p.supervise(p.cmd, p.exited)
	return nil
}

// supervise waits until an incarnation exits and starts the next one.
func (p *process) supervise(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // only an exit without a request counts, whatever its status
	p.mu.Lock()
	if !p.stopRequested && !p.closed {
		p.unexpectedExits++
	}
	closed := p.closed
	p.mu.Unlock()
	close(exited)
	if closed {
		return
	}
	time.Sleep(restartDelay)
	p.markUnstable(settleTime)
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.restartErr = err
	}
}

// signal sends a signal to the process, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.stopRequested = true
	case syscall.SIGTERM:
		p.stopRequested, p.terminating = true, true
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has just exited
}

// signalWhileStopping sends a signal to the process if it is stopping.
func (p *process) signalWhileStopping(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminating {
		_ = p.cmd.Process.Signal(s) // fails if the process has just exited
	}
}

// terminate sends a SIGTERM and waits until the process exits. It kills the
// process after gracePeriod.
func (p *process) terminate() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		p.mu.Lock()
		p.forcedKills++
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
}

// markUnstable suspends the checks of time bounds and of graceful shutdown for this
// entry, for at least d from now.
func (p *process) markUnstable(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.unstableUntil) {
		p.unstableUntil = until
	}
}

// state returns the current incarnation, whether the entry has been stable since
// the given time, and whether it is terminating.
func (p *process) state(since time.Time) (incarnation int, stable, terminating bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.unstableUntil.Before(since), p.terminating
}

// close kills the process without a restart and closes its proxy.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	exited := p.exited
	p.mu.Unlock()
	// Resumes a process that a fault has paused.
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	p.store.close()
}

// address returns the address on which the entry accepts requests of callers.
func (p *process) address() netip.AddrPort { return p.settings.Listen }
