package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// minGap and maxGap bound the time from one fault to the next. Faults last
	// up to maxFault, so that several overlap.
	minGap   = 100 * time.Millisecond
	maxGap   = 900 * time.Millisecond
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
	// slowPace makes a target's work take 120 ms: far longer than at the others,
	// and within the objective.
	slowPace = 6 * standin.UsualPace
)

// faultKind is one kind of harm.
type faultKind struct {
	name string
	// weight is how often it comes, relative to the others.
	weight int
	run    func(s *Soaker, d draw)
}

// draw holds what a fault of a run drew.
type draw struct {
	process, other *process
	target         *target
	lasts          time.Duration
	pick           int
}

var faultKinds = []faultKind{
	{"entry killed", 3, func(_ *Soaker, d draw) {
		d.process.markUnstable(d.lasts + settleTime)
		d.process.signal(syscall.SIGKILL)
	}},
	{"entry stopped", 3, func(_ *Soaker, d draw) { d.process.terminate() }},
	{"two entries stopped", 1, func(_ *Soaker, d draw) {
		var both sync.WaitGroup
		both.Go(d.process.terminate)
		both.Go(d.other.terminate)
		both.Wait()
	}},
	{"entry paused", 2, func(_ *Soaker, d draw) {
		d.process.markUnstable(d.lasts + settleTime)
		d.process.signal(syscall.SIGSTOP)
		time.Sleep(d.lasts)
		d.process.markUnstable(settleTime)
		d.process.signal(syscall.SIGCONT)
	}},
	{"settings reloaded", 2, func(s *Soaker, d draw) {
		if err := standin.WriteSettings(d.process.settingsFile(), d.process.settings); err != nil {
			s.checker.addViolation("soak", "settings: %v", err)
		}
		d.process.signal(syscall.SIGHUP)
	}},
	{"link to the store", 4, func(_ *Soaker, d draw) {
		d.process.markUnstable(d.lasts + settleTime)
		d.process.store.setFault(linkFault(1 + d.pick%4))
		time.Sleep(d.lasts)
		d.process.store.setFault(noLinkFault)
	}},
	{"link to a target", 4, func(_ *Soaker, d draw) {
		d.target.link.setFault(linkFault(1 + d.pick%4))
		time.Sleep(d.lasts)
		d.target.link.setFault(noLinkFault)
	}},
	{"target misbehaves", 4, func(_ *Soaker, d draw) {
		behaviours := []standin.Behaviour{standin.Shed, standin.Fail, standin.Drop, standin.Hang, standin.Unsealed, standin.Truncate}
		d.target.injectBehaviour(behaviours[d.pick%len(behaviours)], 1+int64(d.pick%3))
		time.Sleep(d.lasts)
		d.target.SetBehaviour(nil)
	}},
	{"target slow", 2, func(_ *Soaker, d draw) {
		d.target.SetPace(slowPace)
		time.Sleep(d.lasts)
		d.target.SetPace(standin.UsualPace)
	}},
	{"target replaced", 2, func(s *Soaker, _ draw) {
		if err := s.replaceTarget(); err != nil {
			s.checker.addViolation("soak", "replace a target: %v", err)
		}
	}},
	{"configuration changed", 4, func(s *Soaker, _ draw) { s.publishConfig() }},
	{"store", 3, func(s *Soaker, d draw) {
		faults := []standin.Fault{standin.Busy, standin.Reset, standin.Silent, standin.LoseAnswer, standin.Late}
		s.troubleStore(d.lasts + settleTime)
		s.store.SetFault(func(standin.Call) standin.Fault { return faults[d.pick%len(faults)] })
		time.Sleep(d.lasts)
		s.store.SetFault(nil)
	}},
}

// troubleStore notes that the store can't be relied on for a while.
func (s *Soaker) troubleStore(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.storeTroubled) {
		s.storeTroubled = until
	}
}

// harm injects faults, one after the other without waiting for their end.
func (s *Soaker) harm(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	for end := time.Now().Add(s.options.Harm); time.Now().Before(end) && ctx.Err() == nil; {
		k := s.pickKind(s.rand.IntN(total))
		d := s.draw()
		s.faults[k.name]++
		running.Go(func() { k.run(s, d) })
		time.Sleep(minGap + time.Duration(s.rand.Int64N(int64(maxGap-minGap))))
	}
}

func (s *Soaker) pickKind(n int) faultKind {
	for _, k := range faultKinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return faultKinds[0]
}

func (s *Soaker) draw() draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.processes)
	first := s.rand.IntN(n)
	return draw{
		process: s.processes[first], other: s.processes[(first+1+s.rand.IntN(max(1, n-1)))%n],
		target: s.activeTargets[s.rand.IntN(len(s.activeTargets))],
		lasts:  minFault + time.Duration(s.rand.Int64N(int64(maxFault-minFault))),
		pick:   s.rand.IntN(1 << 16),
	}
}
