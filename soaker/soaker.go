// Package soaker runs entries as processes under injected faults and checks the
// guarantees of the system by what callers and targets observe.
//
//	report, err := soaker.Run(ctx, soaker.Options{Program: "bin/savoryroad", Dir: dir, Seed: 7})
//
// The seed of a run determines its faults, but not which requests they affect. A
// run has three phases: the fleet starts, overlapping faults are injected while
// callers send requests, and all faults are cleared. Guarantees with a time bound
// are checked only for entries that have been without a fault for settleTime.
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
	// settleTime is the time after a fault in which no time bounds are checked:
	// the 3 s that the platform allows, and the 2 s within which a change must
	// be applied.
	settleTime = 5 * time.Second
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the platform's bound on the time from the last fault
	// until every entry serves requests again.
	recoveryTimeout = 15 * time.Second
	// meanCallInterval is the mean time between two requests of a caller.
	meanCallInterval = 15 * time.Millisecond
	// callTimeout is how long a caller waits for a complete response.
	callTimeout = 2 * time.Second
	// uploadBytes is the size of an upload, which spans several packets.
	uploadBytes = 20 << 10
	// downloadBytes is the size of the answer to a download, more than an entry
	// buffers.
	downloadBytes = 1500 << 10
	// With targetSlots and targetServiceTime, the usual load of the callers
	// occupies a fifth of the slots of the targets.
	targetSlots       = 4
	targetServiceTime = 20 * time.Millisecond
)

// downloadPath is the path of a download.
var downloadPath = fmt.Sprintf("/d/x?%s=%d", standin.SizeParameter, downloadBytes)

// Options configures a run. Zero values select the defaults.
type Options struct {
	// Program is the path of the savoryroad program, and Dir an empty folder
	// for settings and logs.
	Program, Dir string
	// Seed determines the faults and the IP addresses of the entries.
	Seed uint64
	// Entries, Targets and Callers are the numbers of each; 4, 6 and 8 by
	// default.
	Entries, Targets, Callers int
	// Harm is the time during which faults are injected; 12 s by default.
	Harm time.Duration
	// Untimed skips the guarantees with a time bound, for machines that may be
	// too busy to meet them.
	Untimed bool
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Replies counts the requests by the status of their response, or 0 without
	// a complete response.
	Replies map[int]int
	// Faults counts the injected faults by kind.
	Faults     map[string]int
	Violations []Violation
}

// Soaker is the state of one run.
type Soaker struct {
	options     Options
	rand        *rand.Rand
	checker     *checker
	store       *standin.Store
	storeServer *httptest.Server
	processes   []*process
	// callerCount is the number of callers created, and the latest one's number.
	callerCount atomic.Uint64
	faults      map[string]int

	mu sync.Mutex
	// targets holds all targets of the run, activeTargets those that are not
	// draining, oldest first.
	targets, activeTargets []*target
	// configVersion is the published version of the configuration, and
	// configuredAt the time of its publication.
	configVersion int
	configuredAt  time.Time
	// crashes holds the requests under which targets have crashed, and crashRand decides
	// how.
	crashes   []standin.Arrival
	crashRand *rand.Rand
	// storeUnstableUntil is the time before which time bounds that depend on the
	// store are not checked, because of a fault.
	storeUnstableUntil time.Time
}

// Run runs the soak with one seed and reports the violations. It returns an error
// if the fleet can't be started or the context ends.
func Run(ctx context.Context, o Options) (Report, error) {
	s := newSoaker(o)
	defer s.close()
	if err := s.startFleet(ctx); err != nil {
		return Report{}, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var wg sync.WaitGroup
	for range s.options.Callers {
		wg.Go(func() { s.runCaller(callCtx) })
		wg.Go(func() { s.runClinger(callCtx) })
	}
	wg.Go(func() { s.runProbes(callCtx) })
	limitCtx, endLimits := context.WithCancel(ctx)
	defer endLimits()
	var limits sync.WaitGroup
	limits.Go(func() { s.nameLimits(limitCtx) })
	limits.Go(func() { s.restoreStore(limitCtx) })
	limits.Go(func() { s.sendLethal(limitCtx) })
	s.injectFaults(ctx)
	endLimits()
	limits.Wait()
	for _, t := range s.targets {
		s.faults["target limited"] += len(t.limitPeriods())
	}
	if err := s.recoverFleet(ctx); err != nil {
		return Report{}, err
	}
	stopCalls()
	wg.Wait()
	s.checker.check(s.targets)
	s.checkCrashes(s.checker.outcomes)
	for _, p := range s.processes {
		if p.restartErr != nil {
			s.checker.addViolation("soak", "%s could not be restarted: %v", p.settings.Name, p.restartErr)
		}
		if p.unexpectedExits > 0 {
			s.checker.addViolation("no unexpected exits", "%s exited %d times without a signal to stop", p.settings.Name, p.unexpectedExits)
		}
		if p.forcedKills > 0 && !s.options.Untimed {
			s.checker.addViolation("shutdown within the grace period", "%s was still running at the end of the grace period %d times", p.settings.Name, p.forcedKills)
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
	return &Soaker{options: o, rand: rand.New(rand.NewPCG(o.Seed, 5)), crashRand: rand.New(rand.NewPCG(o.Seed, 9)), checker: newChecker(), store: standin.NewStore(), faults: map[string]int{}}
}

// startFleet starts the store, the targets and the entries, and waits until every
// entry serves requests.
func (s *Soaker) startFleet(ctx context.Context) error {
	s.storeServer = httptest.NewServer(s.store)
	for range s.options.Targets {
		if err := s.addTarget(0); err != nil {
			return err
		}
	}
	s.publishConfig()
	// Without an operator address, entries serve no metrics and dumps, which would
	// need a port of their own.
	if err := os.WriteFile(filepath.Join(s.options.Dir, "entry.yaml"), []byte("LogServedOneIn: 1\n"), 0o600); err != nil {
		return errors.Wrap(err, "write the settings of the entries")
	}
	firstIP := netip.AddrFrom4([4]byte{127, 20 + byte(s.options.Seed>>8%200), byte(s.options.Seed), 1})
	var ips []netip.Addr
	for ip := firstIP; len(ips) < s.options.Entries; ip = ip.Next() {
		ips = append(ips, ip)
	}
	for i, ip := range ips {
		store, err := newProxy(s.storeServer.Listener.Addr().String())
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
	return errors.Wrap(s.awaitServing(ctx), "start the fleet")
}

// awaitServing waits until every entry has served a request.
func (s *Soaker) awaitServing(ctx context.Context) error {
	for _, p := range s.processes {
		c := newCaller(s)
		for c.get(ctx, p, "/a/start") != http.StatusOK {
			if ctx.Err() != nil {
				return errors.Newf("%s does not serve requests", p.settings.Name)
			}
			time.Sleep(meanCallInterval)
		}
	}
	return nil
}

// recoverFleet clears all faults and waits until every entry serves requests
// again. It returns an error only if the context ends.
func (s *Soaker) recoverFleet(ctx context.Context) error {
	s.store.SetFault(nil)
	for _, p := range s.processes {
		p.store.setFault(noLinkFault)
	}
	s.mu.Lock()
	for _, t := range s.activeTargets {
		t.clearFaults()
	}
	s.mu.Unlock()
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := s.awaitServing(recoveryCtx); err != nil && ctx.Err() == nil && !s.options.Untimed {
		s.checker.addViolation("recovery", "%v %v after the last fault", err, recoveryTimeout)
	}
	return ctx.Err()
}

// close stops all processes, targets and proxies, and the store.
func (s *Soaker) close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, t := range s.targets {
		t.link.close()
		t.Close()
	}
	if s.storeServer != nil {
		s.storeServer.CloseClientConnections()
		s.storeServer.Close()
	}
}
