// Package rationer divides what the whole fleet may spend among its entries:
// repeats of requests, and requests to cold targets.
//
// Each entry owns a share of the fleet. The shares of all entries add up to at
// most 1, so entries that keep to their own parts keep to the sum, without
// asking each other for each request.
package rationer

import (
	"sync"
	"time"
)

const (
	// slots is the number of pieces that a budget's window is counted in.
	slots = 40
	// spendable is the part of the fleet's allowance that entries use. The
	// rest covers the moments at which two entries believe that they own the
	// same share, and the coarseness of the pieces.
	spendable = 0.85
	// hedgeable is the part of the allowance that repeats may use while the
	// first send may still be answered; the rest is kept for those that failed.
	hedgeable = 0.6
)

// Budget bounds the repeats of one service's requests in any window. It is
// safe for use by several goroutines.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	share  float64
	width  time.Duration
	pieces [slots]piece
}

// piece counts what happened in one piece of the window.
type piece struct {
	// index is the number of the piece since the beginning of time.
	index    int64
	requests int
	repeats  int
}

// NewBudget returns a budget that allows ratio repeats for each request in any
// window, and the entry's share of slack besides.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, width: max(window/(slots-1), time.Millisecond)}
}

// SetBounds sets the repeats for each request and the fleet's slack.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetShare sets the entry's share of the fleet, from 0 to 1.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Repair takes one repeat of a request that failed out of the budget, if the
// budget allows it.
func (b *Budget) Repair(now time.Time) bool { return b.take(now, spendable) }

// Hedge takes one repeat of a request that may still be answered.
func (b *Budget) Hedge(now time.Time) bool { return b.take(now, spendable*hedgeable) }

func (b *Budget) take(now time.Time, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, repeats := 0, 0
	for _, p := range b.pieces {
		if current.index-p.index < slots {
			requests += p.requests
			repeats += p.repeats
		}
	}
	if float64(repeats+1) > part*(b.ratio*float64(requests)+b.slack*b.share) {
		return false
	}
	current.repeats++
	return true
}

// at returns the piece of a moment; the caller holds the lock.
func (b *Budget) at(now time.Time) *piece {
	index := now.UnixNano() / int64(b.width)
	p := &b.pieces[index%slots]
	if p.index != index {
		*p = piece{index: index}
	}
	return p
}
