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

// Ports of the entries; each entry has an address of its own.
const (
	callerPort    = 8601
	readinessPort = 8602
	peerPort      = 8610
)

const (
	// grace is how long after SIGTERM a process is killed.
	grace = 6 * time.Second
	// restartPause is the time from the end of a process to its next start.
	restartPause = 300 * time.Millisecond
)

// bounds are those that every entry is told, those of a small deployment.
var bounds = platform.Bounds{
	Grace: grace, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 20, WarmupExcess: 1.5, WarmupSlack: 5,
}

// process is an entry that runs as a process, and is started again whenever it
// has ended.
type process struct {
	program, dir string
	settings     standin.Process
	// store is the entry's own link to the store.
	store *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the starts.
	incarnation int
	// troubled is until when the entry can't be held to time bounds.
	troubled time.Time
	// leaving is set between a SIGTERM and the end of the process.
	leaving bool
	// downed is set when the latest end was ordered.
	downed bool
	// closed keeps the process from being started again.
	closed bool
	ended  chan struct{}
	// unordered counts the ends that nobody ordered, late the kills at the end
	// of the grace time.
	unordered, late int
	// failed is why the process could not be started again.
	failed error
}

func (p *process) settingsFile() string {
	return filepath.Join(p.dir, p.settings.Name+".toml")
}

// start starts the process.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.dir, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log of an entry")
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
	p.leaving, p.downed = false, false
	p.ended = make(chan struct{})
	fmt.Fprintf(out, "{\"Message\":\"incarnation %d\"}\n", p.incarnation)
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start an entry")
	}
	go p.keep(p.cmd, p.ended)
	return nil
}

// keep waits for the end of the process and starts it again.
func (p *process) keep(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // how it ended is of no interest, only who ordered it
	p.mu.Lock()
	if !p.downed && !p.closed {
		p.unordered++
	}
	closed := p.closed
	p.mu.Unlock()
	close(ended)
	if closed {
		return
	}
	time.Sleep(restartPause)
	p.trouble(settleTime)
	if err := p.start(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.failed = err
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.downed = true
	case syscall.SIGTERM:
		p.downed, p.leaving = true, true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended just now
}

// terminate asks the process to end, and kills it after the grace time.
func (p *process) terminate() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		p.mu.Lock()
		p.late++
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
}

// trouble notes that the entry can't be held to time bounds for a while.
func (p *process) trouble(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(d); until.After(p.troubled) {
		p.troubled = until
	}
}

// state returns the incarnation, whether the entry has been calm since a
// moment, and whether it is leaving.
func (p *process) state(since time.Time) (incarnation int, calm, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.troubled.Before(since), p.leaving
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	ended := p.ended
	p.mu.Unlock()
	// A paused process doesn't end before it is woken.
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
	p.store.close()
}

// callers is where the entry takes requests.
func (p *process) callers() netip.AddrPort { return p.settings.Listen }
