package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// maxCopyAge bounds the age of the copy from which the store is restored, and
	// maxRewriteDelay the time in which operators and targets write again.
	maxCopyAge      = 4 * time.Second
	maxRewriteDelay = 300 * time.Millisecond
	// lethalPath is the path of the request that crashes the targets that run it, and
	// lethalInterval the time between two of its arrivals.
	lethalPath     = "/a/lethal"
	lethalInterval = 80 * time.Millisecond
	// toleratedCrashes is the number of targets that such a request ends before the
	// fleet must know it, crashContact the time that it has then, and toleratedRetries
	// the number of sends after that.
	toleratedCrashes = 3
	crashContact     = 3 * time.Second
	toleratedRetries = 3
)

// restoreStore restores the store from an older copy, once, at a random time.
func (s *Soaker) restoreStore(ctx context.Context) {
	// A source of its own keeps the faults of a seed the same.
	random := rand.New(rand.NewPCG(s.options.Seed, 7))
	sleep(ctx, time.Duration(random.Int64N(int64(s.options.Harm/2))))
	copied := s.store.Copy()
	sleep(ctx, time.Duration(random.Int64N(int64(min(maxCopyAge, s.options.Harm/2)))))
	s.markStoreUnstable(settleTime)
	s.mu.Lock()
	s.store.Restore(copied)
	s.mu.Unlock()
	sleep(ctx, time.Duration(random.Int64N(int64(maxRewriteDelay))))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putConfig()
	for _, t := range s.targets {
		state := "ready"
		if !t.drainingSince.IsZero() {
			state = "draining"
		}
		s.register(t, state, max(0, time.Until(t.coldUntil)))
	}
	s.faults["store restored"]++
}

// sendLethal sends a request that crashes the targets that run it to all entries in turn,
// until the context ends.
func (s *Soaker) sendLethal(ctx context.Context) {
	c := newCaller(s)
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		c.get(ctx, s.processes[i%len(s.processes)], lethalPath)
		sleep(ctx, lethalInterval)
	}
}

// crash lets a target crash under a request, and registers it when it is back.
func (s *Soaker) crash(t *target, id string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, standin.Arrival{ID: id, At: time.Now()})
	s.mu.Unlock()
	over := t.disturb()
	time.AfterFunc(standin.CrashTime, func() {
		over()
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.drainingSince.IsZero() {
			s.register(t, "ready", 0)
		}
	})
}

// checkCrashes checks that entries that were stable sent a request that crashes targets
// only few times after the fleet had time to learn of it.
func (s *Soaker) checkCrashes(outcomes []outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults["target crashed"] += len(s.crashes)
	if len(s.crashes) <= toleratedCrashes || s.options.Untimed {
		return
	}
	slices.SortFunc(s.crashes, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	known := s.crashes[toleratedCrashes-1].At.Add(crashContact)
	late := 0
	for _, a := range s.crashes {
		byStable := slices.ContainsFunc(outcomes, func(o outcome) bool { return o.id == a.ID && o.stable })
		if a.At.After(known) && byStable {
			late++
		}
	}
	if late > toleratedRetries {
		s.checker.addViolation("requests that crash targets are stopped", "%d targets crashed, %d of them later than %v after the third", len(s.crashes), late, crashContact)
	}
}
