// Package soaker runs entries as processes, harms them from outside, and checks
// the promises of the system by what callers and targets see.
//
//	report, err := soaker.Run(ctx, soaker.Options{Program: "bin/savoryroad", Dir: dir, Seed: 7})
//
// The faults of a run follow from its seed; when they meet which request does
// not. A run goes through three phases: the fleet starts, faults come in series
// and overlap while callers call, and everything heals. Promises with a time
// bound are checked only of entries that nothing has troubled for settleTime.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/platform/standin"
)

const (
	// settleTime is how long after a fault an entry is not held to time bounds:
	// the platform's 3 s, and the 2 s within which a change must be known.
	settleTime = 5 * time.Second
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// recoverTime is how long after the last fault every caller is served: the
	// platform's bound.
	recoverTime = 15 * time.Second
	// meanCallInterval is the mean time between two requests of a caller.
	meanCallInterval = 15 * time.Millisecond
	// callTimeout is how long a caller waits.
	callTimeout = 2 * time.Second
	// uploadBytes is the size of an upload: more than one packet.
	uploadBytes = 20 << 10
	// targetSlots and targetWork size the targets, so that the usual load
	// takes a fifth of them.
	targetSlots = 4
	targetWork  = 20 * time.Millisecond
)

// Options say what is run. Zero values stand for the defaults.
type Options struct {
	// Program is the path of the savoryroad program, and Dir an empty folder
	// for settings and logs.
	Program, Dir string
	// Seed draws the faults, and the subnet of the entries.
	Seed uint64
	// Entries, Targets and Callers size the run; 4, 6 and 8 by default.
	Entries, Targets, Callers int
	// Harm is how long faults are injected; 12 s by default.
	Harm time.Duration
	// Untimed leaves out the promises with a time bound, for machines that may
	// be too busy to keep them.
	Untimed bool
}

// Report is what a run found.
type Report struct {
	Seed uint64
	// Replies counts the replies by status; 0 stands for no whole answer.
	Replies map[int]int
	// Faults counts the faults by kind.
	Faults     map[string]int
	Violations []Violation
}

// Soaker is one run.
type Soaker struct {
	options   Options
	rand      *rand.Rand
	checker   *checker
	store     *standin.Store
	server    *httptest.Server
	processes []*process
	// callerCount counts the callers.
	callerCount atomic.Uint64
	faults      map[string]int

	mu sync.Mutex
	// targets holds all that there ever were, activeTargets those that serve.
	targets, activeTargets []*target
	configVersion          int
	configuredAt           time.Time
	// storeUnstableUntil is until when the store can't be relied on.
	storeUnstableUntil time.Time
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := newSoaker(o)
	defer s.close()
	if err := s.begin(ctx); err != nil {
		return Report{}, err
	}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for range s.options.Callers {
		callers.Go(func() { s.runCaller(calls) })
	}
	callers.Go(func() { s.probe(calls) })
	s.injectFaults(ctx)
	if err := s.recover(ctx); err != nil {
		return Report{}, err
	}
	stop()
	callers.Wait()
	s.checker.check(s.targets)
	for _, p := range s.processes {
		if p.restartErr != nil {
			s.checker.addViolation("soak", "%s could not be started again: %v", p.settings.Name, p.restartErr)
		}
		if p.unexpectedExits > 0 {
			s.checker.addViolation("no ends of its own", "%s ended %d times without being told", p.settings.Name, p.unexpectedExits)
		}
		if p.forcedKills > 0 && !s.options.Untimed {
			s.checker.addViolation("ends in time", "%s was still there at the end of the grace time %d times", p.settings.Name, p.forcedKills)
		}
	}
	return Report{Seed: o.Seed, Replies: s.checker.statusCounts, Faults: s.faults, Violations: s.checker.violations}, ctx.Err()
}

func newSoaker(o Options) *Soaker {
	for _, d := range []struct {
		field *int
		value int
	}{{&o.Entries, 4}, {&o.Targets, 6}, {&o.Callers, 8}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.Harm == 0 {
		o.Harm = 12 * time.Second
	}
	return &Soaker{options: o, rand: rand.New(rand.NewPCG(o.Seed, 5)), checker: newChecker(), store: standin.NewStore(), faults: map[string]int{}}
}

// begin starts the store, the targets and the entries, and waits until they are
// ready.
func (s *Soaker) begin(ctx context.Context) error {
	s.server = httptest.NewServer(s.store)
	for range s.options.Targets {
		if err := s.addTarget(0); err != nil {
			return err
		}
	}
	s.publishConfig()
	// Metrics and dumps are not served: each would need a port of its own.
	if err := os.WriteFile(filepath.Join(s.options.Dir, "entry.yaml"), []byte("LogServedOneIn: 1\n"), 0o600); err != nil {
		return errors.Wrap(err, "settings of entries")
	}
	subnet := netip.AddrFrom4([4]byte{127, 20 + byte(s.options.Seed>>8%200), byte(s.options.Seed), 1})
	var ips []netip.Addr
	for ip := subnet; len(ips) < s.options.Entries; ip = ip.Next() {
		ips = append(ips, ip)
	}
	for i, ip := range ips {
		store, err := newProxy(s.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		p := &process{program: s.options.Program, dir: s.options.Dir, store: store, settings: standin.Process{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: dataCentreName(i),
			Listen: netip.AddrPortFrom(ip, callerPort), Readiness: netip.AddrPortFrom(ip, readinessPort),
			PeerPort: peerPort, Seeds: ips[:min(3, len(ips))], Store: store.address(), Bounds: bounds,
		}}
		s.processes = append(s.processes, p)
		if err := standin.WriteSettings(p.settingsFile(), p.settings); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return errors.Wrap(s.awaitServed(ctx), "start of the fleet")
}

// awaitServed waits until every entry serves.
func (s *Soaker) awaitServed(ctx context.Context) error {
	for _, p := range s.processes {
		c := newCaller(s)
		for c.get(ctx, p, "/a/start") != http.StatusOK {
			if ctx.Err() != nil {
				return errors.Newf("%s doesn't serve", p.settings.Name)
			}
			time.Sleep(meanCallInterval)
		}
	}
	return nil
}

// recover ends all faults and waits until every entry serves again.
func (s *Soaker) recover(ctx context.Context) error {
	s.store.SetFault(nil)
	for _, p := range s.processes {
		p.store.setFault(noLinkFault)
	}
	s.mu.Lock()
	for _, t := range s.activeTargets {
		t.clearFaults()
	}
	s.mu.Unlock()
	within, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	if err := s.awaitServed(within); err != nil && ctx.Err() == nil && !s.options.Untimed {
		s.checker.addViolation("recovery", "%v %v after the last fault", err, recoverTime)
	}
	return ctx.Err()
}

func (s *Soaker) close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, t := range s.targets {
		t.link.close()
		t.Close()
	}
	if s.server != nil {
		s.server.CloseClientConnections()
		s.server.Close()
	}
}
