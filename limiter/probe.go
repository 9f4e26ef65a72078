package limiter

import (
	"sync"
	"time"
)

const (
	// probeBurstWindow is the time whose allowance of health checks may be sent
	// in one burst: a burst of callers needs many, and the limit applies to the
	// average over hours.
	probeBurstWindow = 20 * time.Second
	// minProbes is the number of health checks that Take always allows. Each
	// request that is served needs one, so this number never breaks the limit.
	minProbes = 1
)

// Probes is a token bucket that limits the health checks that an entry sends to
// the targets of one service. It is safe for concurrent use.
type Probes struct {
	mu sync.Mutex
	// rate is the entry's share of the health checks that all targets may get,
	// in checks per second; 0 means unlimited.
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// SetRate sets the rate of health checks that each target may get from the
// whole fleet, in checks per second, the number of targets, and the entry's
// share of the fleet, from 0 to 1.
func (p *Probes) SetRate(perTarget float64, targets int, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = safetyFactor * perTarget * float64(targets) * share
}

// Take returns how many of n health checks may be sent, which is at least one,
// and takes as many tokens.
func (p *Probes) Take(n int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return n
	}
	burst := p.rate * probeBurstWindow.Seconds()
	if p.refilledAt.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = min(burst, p.tokens+p.rate*now.Sub(p.refilledAt).Seconds())
	}
	p.refilledAt = now
	n = max(min(n, int(p.tokens)), minProbes)
	// The health check that is always allowed may overdraw the bucket, by one
	// burst at most.
	p.tokens = max(p.tokens-float64(n), -burst)
	return n
}

// Scarce tells whether the bucket is empty, so that Take allows only the
// minimum.
func (p *Probes) Scarce() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate > 0 && p.tokens < 1
}
