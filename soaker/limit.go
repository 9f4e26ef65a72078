package soaker

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// limitContact is the time after which a target may rely on the limit that it
	// names. In each limitWindow it then tolerates limitExcess times of it, and
	// limitSlack requests.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	// minLimit and maxLimit bound the limits, in requests per second. The usual load
	// of a target is several times as high.
	minLimit = 0.5
	maxLimit = 8
	// minLimitTime and maxLimitTime bound the time in which targets name a limit, and
	// limitPause is the time between two such times.
	minLimitTime = limitContact + limitWindow + time.Second
	maxLimitTime = 14 * time.Second
	limitPause   = 2 * time.Second
	// allLimitedOneIn is how often all targets name limits, instead of two.
	allLimitedOneIn = 3
)

// nameLimits makes targets name limits, again and again, until the context ends.
func (s *Soaker) nameLimits(ctx context.Context) {
	// A source of its own keeps the faults of a seed the same.
	random := rand.New(rand.NewPCG(s.options.Seed, 6))
	for ctx.Err() == nil {
		sleep(ctx, limitPause)
		inHealth := random.IntN(2) == 0
		targets := s.drawLimited(random)
		for _, t := range targets {
			t.nameLimit(minLimit+(maxLimit-minLimit)*random.Float64(), inHealth)
		}
		sleep(ctx, minLimitTime+time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime))))
		for _, t := range targets {
			t.endLimit()
		}
	}
}

// drawLimited returns the targets that name limits next.
func (s *Soaker) drawLimited(random *rand.Rand) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.activeTargets)
	if random.IntN(allLimitedOneIn) > 0 {
		n = min(n, 2)
	}
	var targets []*target
	for _, i := range random.Perm(len(s.activeTargets))[:n] {
		targets = append(targets, s.activeTargets[i])
	}
	return targets
}

// sleep pauses for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
