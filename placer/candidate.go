package placer

import (
	"slices"
	"time"
)

// maxCandidates is the largest number of targets that are asked at a time.
const maxCandidates = 8

// Candidates appends to dst up to n targets to probe for their load, and at most
// 8. The first n-1 places go to preferred targets, to which connections are
// likely open; the rest go to the best targets of either kind, so that every
// target is also probed by entries that don't prefer it. Targets with a lower
// penalty come first, and ties are broken at random, so that entries don't all
// converge on the same target.
func (s *Service) Candidates(dst []*Target, d Demand, distance Distance, n int, now time.Time) []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.near
	if distance == Far {
		from = s.far
	}
	n = min(n, maxCandidates)
	preferred, others := shortlist{most: n}, shortlist{most: n}
	for _, t := range from {
		if now.Before(t.backoffUntil) || slices.Contains(d.Tried, t) {
			continue
		}
		c := candidate{target: t, rank: uint64(t.penalty(now))<<32 | uint64(s.rand.Uint32())}
		if t.preferred {
			preferred.add(c)
		} else {
			others.add(c)
		}
	}
	left := n
	for range n - 1 {
		if c, ok := preferred.take(); ok {
			dst = append(dst, c.target)
			left--
		}
	}
	for range left {
		next := &preferred
		if preferred.len == 0 || others.len > 0 && others.best[others.first].rank < preferred.best[preferred.first].rank {
			next = &others
		}
		c, ok := next.take()
		if !ok {
			break
		}
		dst = append(dst, c.target)
	}
	return dst
}

// candidate is a target that may be asked. Lower ranks come first.
type candidate struct {
	target *Target
	rank   uint64
}

// shortlist holds the best of the candidates that were added, in order.
type shortlist struct {
	best [maxCandidates]candidate
	// most is how many are kept, first where the first one is, and len how many
	// there are.
	most, first, len int
}

// add keeps a candidate if it is among the best.
func (l *shortlist) add(c candidate) {
	at := l.len
	for at > 0 && c.rank < l.best[at-1].rank {
		at--
	}
	if at >= l.most {
		return
	}
	l.len = min(l.len+1, l.most)
	copy(l.best[at+1:l.len], l.best[at:])
	l.best[at] = c
}

// take removes the best candidate. Nothing may be added after it.
func (l *shortlist) take() (candidate, bool) {
	if l.len == 0 {
		return candidate{}, false
	}
	l.first++
	l.len--
	return l.best[l.first-1], true
}

// penalty grows with the signs that a target would serve a request badly.
func (t *Target) penalty(now time.Time) int {
	n := 0
	if t.unhealthy {
		n += 2
	}
	if now.Before(t.coldUntil) {
		n++
	}
	// Both values only decrease as they decay, so most targets need no
	// computation of the decay.
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
