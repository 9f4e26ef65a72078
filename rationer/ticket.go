package rationer

import (
	"hash/fnv"
	"math"
	"time"
)

// burst is the number of requests that one ticket may let through at once.
const burst = 1

// Share is the part of the fleet that an entry owns: some of a fixed number of
// partitions, each of which has at most one owner.
type Share struct {
	// Total is the number of partitions; 0 while the share is not known.
	Total int
	// Owned holds the numbers of the entry's partitions with the moments from
	// which they are its own.
	Owned map[int]time.Time
}

// Part returns the share as a number from 0 to 1.
func (s Share) Part() float64 {
	if s.Total == 0 {
		return 0
	}
	return float64(len(s.Owned)) / float64(s.Total)
}

// ColdLimit is what a cold target bears from the whole fleet.
type ColdLimit struct {
	// Rate is the target's own rate, in requests per second.
	Rate float64
	// Peak is the largest number of requests in any second.
	Peak float64
}

// tickets returns how many entries may send to a cold target: so many that a
// burst of each and the rate together stay within the peak.
func (l ColdLimit) tickets() int {
	return max(1, int(math.Floor((safetyFactor*l.Peak-l.Rate)/burst)))
}

// Tickets returns how many of a target's tickets the entry owns at a moment.
// The partitions that carry them follow from the target's name. Those that the
// entry has owned for less than a second don't count, since their former owner
// may just have used them.
func (s Share) Tickets(target string, l ColdLimit, now time.Time) int {
	if s.Total == 0 {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(target))
	start := h.Sum64()
	n := min(l.tickets(), s.Total)
	owned := 0
	for i := range n {
		// The tickets are spread evenly over the partitions.
		p := int((start + uint64(i*s.Total/n)) % uint64(s.Total))
		if since, ok := s.Owned[p]; ok && now.Sub(since) >= time.Second {
			owned++
		}
	}
	return owned
}

// Bucket lets requests through to one cold target, at the rate of the tickets
// that the entry owns.
type Bucket struct {
	// level is the number of requests that may pass now.
	level float64
	at    time.Time
}

// Refill adds what has come since the last call. A new bucket is full.
func (b *Bucket) Refill(l ColdLimit, owned int, now time.Time) {
	most := float64(owned * burst)
	if b.at.IsZero() {
		b.level = most
	} else {
		rate := l.Rate * float64(owned) / float64(l.tickets())
		b.level = min(most, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// Full tells whether a request may pass.
func (b *Bucket) Full() bool { return b.level >= 1 }

// Take lets one request pass.
func (b *Bucket) Take() { b.level-- }
