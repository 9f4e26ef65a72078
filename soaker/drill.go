package soaker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savoryroad.dev/platform/standin"
)

const (
	// maxCopyAge bounds the age of the copy from which the store is restored, and
	// maxRewriteDelay the time in which operators and targets write again.
	maxCopyAge      = 4 * time.Second
	maxRewriteDelay = 300 * time.Millisecond
	// lethalPath is the path of the request that ends the targets that run it. As many
	// callers as lethalCallers, each with an address of its own, send it at intervals of
	// lethalInterval, in waves of lethalWave with a pause of up to maxLethalPause.
	lethalPath     = "/a/lethal"
	lethalCallers  = 4
	lethalInterval = 200 * time.Millisecond
	lethalWave     = 2 * time.Second
	maxLethalPause = 4 * time.Second
	// maxDownTime bounds the time for which a target that has ended is silent.
	maxDownTime = 2500 * time.Millisecond
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

// sendLethal sends a request that ends the targets that run it to random entries, in waves,
// until the context ends.
func (s *Soaker) sendLethal(ctx context.Context) {
	// A source of its own keeps the faults of a seed the same.
	random := rand.New(rand.NewPCG(s.options.Seed, 8))
	for ctx.Err() == nil {
		wave, endWave := context.WithTimeout(ctx, lethalWave)
		var callers sync.WaitGroup
		for i := range lethalCallers {
			c := newCaller(s)
			c.bind(lethalAddress(i))
			callers.Go(func() {
				defer c.client.CloseIdleConnections()
				for wave.Err() == nil {
					c.get(wave, s.processes[c.rand.IntN(len(s.processes))], lethalPath)
					sleep(wave, lethalInterval)
				}
			})
		}
		callers.Wait()
		endWave()
		sleep(ctx, time.Duration(random.Int64N(int64(maxLethalPause))))
	}
}

// lethalAddress returns the address of a caller of sendLethal.
func lethalAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i)}) }

// crash decides how a target ends under a request, and registers it when it is back.
func (s *Soaker) crash(t *target, id string) (standin.End, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, standin.Arrival{ID: id, At: time.Now()})
	end := standin.End(s.crashRand.IntN(int(standin.Dark) + 1))
	down := standin.CrashTime
	if end != standin.Refuse {
		down += time.Duration(s.crashRand.Int64N(int64(maxDownTime - down)))
	}
	over := t.disturb()
	time.AfterFunc(down, func() {
		over()
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.drainingSince.IsZero() {
			s.register(t, "ready", 0)
		}
	})
	return end, down
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
