package rationer

import (
	"sync"
	"time"
)

const (
	// probeWindow is the time whose allowance of probes may be used at once: a
	// burst of callers costs many, and what counts is the average of hours.
	probeWindow = 20 * time.Second
	// leastProbes is what a look costs at least. A request that is served needs
	// one, so this much never fails the bound.
	leastProbes = 1
)

// Probes bounds the health checks that an entry sends to the targets of one
// service. It is safe for use by several goroutines.
type Probes struct {
	mu sync.Mutex
	// rate is the entry's part of what all targets may get, in checks per
	// second; 0 for no bound.
	rate  float64
	level float64
	at    time.Time
}

// SetRate sets what each target may get from the whole fleet in checks per
// second, the number of targets, and the entry's part of the fleet, from 0 to 1.
func (p *Probes) SetRate(perTarget float64, targets int, part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = safetyFactor * perTarget * float64(targets) * part
}

// Take tells how many of n checks may be sent, at least one, and takes them.
func (p *Probes) Take(n int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return n
	}
	most := p.rate * probeWindow.Seconds()
	if p.at.IsZero() {
		p.level = most
	} else {
		p.level = min(most, p.level+p.rate*now.Sub(p.at).Seconds())
	}
	p.at = now
	n = max(min(n, int(p.level)), leastProbes)
	// The least that every look costs is taken from what comes later.
	p.level = max(p.level-float64(n), -most)
	return n
}

// Scarce tells whether the allowance is used up.
func (p *Probes) Scarce() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate > 0 && p.level < 1
}
