// Package limiter keeps an entry within its share of the fleet's rates and
// budgets: the retry budget, the rate of health checks, and the rate of requests
// to cold targets.
//
// Each entry owns a share of the fleet. The shares of all entries add up to at
// most 1, so the fleet stays within a limit if each entry stays within its
// share of it, without coordination for each request.
package limiter

import (
	"sync"
	"time"
)

const (
	// windowIntervals is the number of intervals that a budget counts
	// separately. All but one span the window, as the current one is incomplete.
	windowIntervals = 40
	// safetyFactor is the fraction of a fleet-wide limit that entries use. The
	// rest covers times at which two entries believe that they own the same
	// share, and the length of the intervals.
	safetyFactor = 0.85
	// hedgeFraction is the fraction of the budget up to which hedges are
	// allowed; the rest is reserved for retries of failed requests.
	hedgeFraction = 0.6
)

// Budget is the retry budget of one service: it bounds the retries and hedges
// in any window. It is safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	ratio          float64
	slack          float64
	share          Share
	intervalLength time.Duration
	intervals      [windowIntervals]interval
}

// interval holds the counts of one interval of the window.
type interval struct {
	// index is the number of the interval since the Unix epoch.
	index    int64
	requests int
	// retries includes hedges.
	retries int
}

// NewBudget returns a budget that allows ratio retries for each request in any
// window, plus the entry's share of slack, which is the number of retries that
// the whole fleet may send in a window regardless of its requests. The share is
// 0 until SetShare is called.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, intervalLength: max(window/(windowIntervals-1), time.Millisecond)}
}

// SetBounds sets the retries for each request and the slack of the fleet.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetShare sets the entry's share of the fleet.
func (b *Budget) SetShare(share Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Request counts a request of a caller. Its retries are not requests.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intervalAt(now).requests++
}

// Repair spends one retry of a failed request. It returns false if the budget
// doesn't allow it.
func (b *Budget) Repair(now time.Time) bool { return b.spend(now, safetyFactor) }

// Hedge spends one hedge, that is a retry of a request that may still be
// answered. It returns false if the budget doesn't allow it.
func (b *Budget) Hedge(now time.Time) bool { return b.spend(now, safetyFactor*hedgeFraction) }

// spend counts a retry if those in the window then stay within a fraction of
// the budget, and otherwise returns false.
func (b *Budget) spend(now time.Time, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.intervalAt(now)
	requests, retries := 0, 0
	for _, iv := range b.intervals {
		if current.index-iv.index < windowIntervals {
			requests += iv.requests
			retries += iv.retries
		}
	}
	part := b.share.Part()
	if b.share.expired(now) {
		part = 0
	}
	if float64(retries+1) > fraction*(b.ratio*float64(requests)+b.slack*part) {
		return false
	}
	current.retries++
	return true
}

// intervalAt returns the interval that contains now, and resets it if it was
// last used for an earlier one. The caller must hold the lock.
func (b *Budget) intervalAt(now time.Time) *interval {
	index := now.UnixNano() / int64(b.intervalLength)
	iv := &b.intervals[index%windowIntervals]
	if iv.index != index {
		*iv = interval{index: index}
	}
	return iv
}
