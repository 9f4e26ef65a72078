package placer

import (
	"slices"
	"time"

	"savoryroad.dev/loader"
)

const (
	// maxCandidates is the largest number of targets that are probed at a time.
	maxCandidates = 8
	// maxPenalty is more than all other signs together.
	maxPenalty = 100
)

// Candidates appends to dst up to n targets to probe for their load, and at
// most 8. The first n-1 places go to preferred targets, to which connections
// are likely open; the rest go to the best targets of either kind, so that
// every target is also probed by entries that don't prefer it. Targets with a
// lower penalty come first, and ties are broken at random, so that entries
// don't all converge on the same target.
func (s *Service) Candidates(dst []*Target, d Demand, locality Locality, n int, now time.Time) []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.near
	if locality == Far {
		targets = s.far
	}
	n = min(n, maxCandidates)
	preferred, others := shortlist{capacity: n}, shortlist{capacity: n}
	for _, t := range targets {
		if d.Cohort != loader.Whole && d.Cohort != t.cohort {
			continue
		}
		if t.leaving || t.isPaused(now) || now.Before(t.backoffUntil) || slices.Contains(d.Tried, t) || s.isWithheld(t, now) {
			continue
		}
		c := candidate{target: t, rank: uint64(s.penalty(t, now))<<32 | uint64(s.rand.Uint32())}
		if t.preferred {
			preferred.add(c)
		} else {
			others.add(c)
		}
	}
	places := n
	for range n - 1 {
		if c, ok := preferred.pop(); ok {
			dst = append(dst, c.target)
			places--
		}
	}
	for range places {
		list := &preferred
		if preferred.len == 0 || others.len > 0 && others.best[others.head].rank < preferred.best[preferred.head].rank {
			list = &others
		}
		c, ok := list.pop()
		if !ok {
			break
		}
		dst = append(dst, c.target)
	}
	return dst
}

// candidate is a target that may be probed. Lower ranks come first: the penalty
// is in the upper 32 bits and a random number in the lower ones.
type candidate struct {
	target *Target
	rank   uint64
}

// shortlist keeps the candidates with the lowest ranks, in order.
type shortlist struct {
	best [maxCandidates]candidate
	// capacity is the largest number kept, head the index of the best one, and
	// len the number left.
	capacity, head, len int
}

// add inserts a candidate if it is among the best so far.
func (l *shortlist) add(c candidate) {
	i := l.len
	for i > 0 && c.rank < l.best[i-1].rank {
		i--
	}
	if i >= l.capacity {
		return
	}
	l.len = min(l.len+1, l.capacity)
	copy(l.best[i+1:l.len], l.best[i:])
	l.best[i] = c
}

// pop removes the best candidate. It must not be followed by add.
func (l *shortlist) pop() (candidate, bool) {
	if l.len == 0 {
		return candidate{}, false
	}
	l.head++
	l.len--
	return l.best[l.head-1], true
}

// penalty counts the signs that a target would serve a request badly: a failed
// health check, which counts twice, a warm-up, a limit, failures and slowness. It is
// maxPenalty for a cold target that this entry may send nothing now.
func (s *Service) penalty(t *Target, now time.Time) int {
	n := 0
	if t.unhealthy {
		n += 2
	}
	if now.Before(t.coldUntil) {
		if !s.admits(t, now) {
			return maxPenalty
		}
		n++
	}
	if t.limit.named {
		n++
	}
	// Decay never brings a value above its threshold, so most targets don't
	// need it computed.
	if t.failureRate > outlierFailureRate || t.slowness > outlierSlowness {
		slowness, failureRate := t.decayedOutcomes(now)
		if failureRate > outlierFailureRate {
			n++
		}
		if slowness > outlierSlowness {
			n++
		}
	}
	return n
}
