package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// minFaultInterval and maxFaultInterval bound the time from the start of one
	// fault to the start of the next. Faults last up to maxFaultDuration, so that
	// several overlap.
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// slowPacePercent raises a target's service time to 120 ms: far longer than
	// that of the other targets, but within the objective of the routes.
	slowPacePercent = 6 * standin.UsualPace
)

// faultKind is a kind of fault.
type faultKind struct {
	name string
	// weight is the relative frequency of the kind.
	weight int
	// inject injects a fault and returns when it is over. Its consequences, such
	// as the restart of a killed entry, may last longer.
	inject func(s *Soaker, f faultParams)
}

// faultParams holds the randomly drawn parameters of a fault. Each kind uses
// some of them.
type faultParams struct {
	// process and other are different entries, unless there is only one.
	process, other *process
	target         *target
	duration       time.Duration
	// variant selects a variant of the kind, modulo the number of variants.
	variant int
}

var faultKinds = []faultKind{
	{"entry killed", 3, func(_ *Soaker, f faultParams) {
		f.process.markUnstable(f.duration + settleTime)
		f.process.signal(syscall.SIGKILL)
	}},
	{"entry stopped", 3, func(_ *Soaker, f faultParams) { f.process.terminate() }},
	{"two entries stopped", 1, func(_ *Soaker, f faultParams) {
		var wg sync.WaitGroup
		wg.Go(f.process.terminate)
		wg.Go(f.other.terminate)
		wg.Wait()
	}},
	{"entry paused", 2, func(_ *Soaker, f faultParams) {
		f.process.markUnstable(f.duration + settleTime)
		f.process.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		f.process.markUnstable(settleTime)
		f.process.signal(syscall.SIGCONT)
	}},
	{"signals in series", 2, func(_ *Soaker, f faultParams) {
		// Further signals arrive while the entry stops.
		var stop sync.WaitGroup
		stop.Go(f.process.terminate)
		for range 1 + f.variant%4 {
			time.Sleep(f.duration / 8)
			f.process.signalWhileStopping(syscall.SIGHUP)
			f.process.signalWhileStopping(syscall.SIGTERM)
		}
		stop.Wait()
	}},
	{"settings reloaded", 2, func(s *Soaker, f faultParams) {
		if err := standin.WriteSettings(f.process.settingsFile(), f.process.settings); err != nil {
			s.checker.addViolation("soak", "write the settings of an entry: %v", err)
		}
		f.process.signal(syscall.SIGHUP)
	}},
	{"store link fault", 4, func(_ *Soaker, f faultParams) {
		f.process.markUnstable(f.duration + settleTime)
		f.process.store.setFault(linkFault(1 + f.variant%4))
		time.Sleep(f.duration)
		f.process.store.setFault(noLinkFault)
	}},
	{"target link fault", 4, func(_ *Soaker, f faultParams) {
		defer f.target.disturb()()
		f.target.link.setFault(linkFault(1 + f.variant%4))
		time.Sleep(f.duration)
		f.target.link.setFault(noLinkFault)
	}},
	{"target response fault", 4, func(_ *Soaker, f faultParams) {
		defer f.target.disturb()()
		behaviours := []standin.Behaviour{standin.Shed, standin.Fail, standin.Drop, standin.Hang, standin.Unsealed, standin.Truncate}
		f.target.injectBehaviour(behaviours[f.variant%len(behaviours)], 1+int64(f.variant%3))
		time.Sleep(f.duration)
		f.target.SetBehaviour(nil)
	}},
	{"target slowed", 2, func(_ *Soaker, f faultParams) {
		f.target.SetPace(slowPacePercent)
		time.Sleep(f.duration)
		f.target.SetPace(standin.UsualPace)
	}},
	{"target replaced", 2, func(s *Soaker, _ faultParams) {
		if err := s.replaceTarget(); err != nil {
			s.checker.addViolation("soak", "replace a target: %v", err)
		}
	}},
	{"configuration changed", 4, func(s *Soaker, _ faultParams) { s.publishConfig() }},
	{"store fault", 3, func(s *Soaker, f faultParams) {
		faults := []standin.Fault{standin.Busy, standin.Reset, standin.Silent, standin.LoseAnswer, standin.Late}
		s.markStoreUnstable(f.duration + settleTime)
		s.store.SetFault(func(standin.Call) standin.Fault { return faults[f.variant%len(faults)] })
		time.Sleep(f.duration)
		s.store.SetFault(nil)
	}},
}

// markStoreUnstable suspends the checks of time bounds that depend on the store,
// for at least d from now.
func (s *Soaker) markStoreUnstable(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.storeUnstableUntil) {
		s.storeUnstableUntil = until
	}
}

// injectFaults starts random faults at random intervals for the time
// s.options.Harm, and waits until all of them are over.
func (s *Soaker) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	for end := time.Now().Add(s.options.Harm); time.Now().Before(end) && ctx.Err() == nil; {
		k := s.faultKindAt(s.rand.IntN(total))
		params := s.drawFaultParams()
		s.faults[k.name]++
		wg.Go(func() { k.inject(s, params) })
		time.Sleep(minFaultInterval + time.Duration(s.rand.Int64N(int64(maxFaultInterval-minFaultInterval))))
	}
}

// faultKindAt maps a number below the sum of all weights to a kind of fault. Each
// kind has as many numbers as its weight.
func (s *Soaker) faultKindAt(n int) faultKind {
	for _, k := range faultKinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return faultKinds[0]
}

// drawFaultParams draws the parameters of the next fault.
func (s *Soaker) drawFaultParams() faultParams {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.processes)
	first := s.rand.IntN(n)
	return faultParams{
		process: s.processes[first], other: s.processes[(first+1+s.rand.IntN(max(1, n-1)))%n],
		target:   s.activeTargets[s.rand.IntN(len(s.activeTargets))],
		duration: minFaultDuration + time.Duration(s.rand.Int64N(int64(maxFaultDuration-minFaultDuration))),
		variant:  s.rand.IntN(1 << 16),
	}
}
