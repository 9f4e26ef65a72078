package allotter

import (
	"math"
	"time"

	"savoryroad.dev/limiter"
	"savoryroad.dev/loader"
)

const (
	// unmetDecay is the time over which refused asks are remembered.
	unmetDecay = 1 * time.Second
	// reserveFraction is the fraction of a bucket that is not lent ahead of demand.
	reserveFraction = 0.5
)

// lender lends the tokens of the parts of quotas that the entry holds.
type lender struct {
	terms  Terms
	limits map[loader.OrganisationName]Limit
	share  limiter.Share
	pots   map[loader.OrganisationName]*pot
}

// pot holds the tokens of one organisation.
type pot struct {
	buckets [maxParts]bucket
	// unmet is the number of tokens asked for in vain lately, at unmetAt.
	unmet   float64
	unmetAt time.Time
}

// bucket holds the tokens of one part. It is empty when the entry begins to hold the part:
// the former holder may have lent all of them.
type bucket struct {
	tokens            float64
	since, refilledAt time.Time
}

// partition returns the number of the partition that carries a part of a quota.
func partition(share limiter.Share, name loader.OrganisationName, part, parts int) int {
	return int((share.Offset(string(name)) + uint64(part*share.Total/parts)) % uint64(share.Total))
}

// limit returns the limit of an organisation, if it is known to have one.
func (l *lender) limit(name loader.OrganisationName) (Limit, bool) {
	limit, ok := l.limits[name]
	return limit, ok && limit.Rate > 0
}

// take takes up to n tokens of an organisation. Those beyond the first leave a reserve for
// others. It returns false if the entry holds no part of the quota, and else how long it
// takes until there is one for those who ask in vain.
func (l *lender) take(name loader.OrganisationName, n int, now time.Time) (taken int, wait time.Duration, holds bool) {
	limit, ok := l.limit(name)
	if !ok || !l.share.Valid(now) {
		return 0, 0, false
	}
	p, ok := l.pots[name]
	if !ok {
		p = &pot{}
		l.pots[name] = p
	}
	rate, size := l.terms.bucket(limit)
	next, total := math.Inf(1), 0.0
	parts := l.terms.parts()
	for i := range parts {
		since, ok := l.share.Owned[partition(l.share, name, i, parts)]
		if !ok {
			continue
		}
		holds = true
		b := &p.buckets[i]
		b.refill(since, rate, size, now)
		for taken < n && b.tokens >= 1 && (taken == 0 || b.tokens > reserveFraction*size) {
			b.tokens--
			taken++
		}
		next, total = min(next, (1-b.tokens)/rate), total+rate
	}
	if !holds {
		return 0, 0, false
	}
	p.unmet *= math.Exp(-now.Sub(p.unmetAt).Seconds() / unmetDecay.Seconds())
	p.unmetAt = now
	if taken == 0 {
		p.unmet += float64(n)
		wait = time.Duration(max(next, p.unmet/total) * float64(time.Second))
	}
	return taken, wait, true
}

// refill adds the tokens for the time since the last call, or since the entry has held the
// part.
func (b *bucket) refill(since time.Time, rate, size float64, now time.Time) {
	if !since.Equal(b.since) {
		*b = bucket{since: since, refilledAt: since}
	}
	b.tokens = min(size, b.tokens+rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// left returns the tokens of an organisation that the entry holds, which is -1 if it holds
// no part of the quota.
func (l *lender) left(name loader.OrganisationName, now time.Time) float64 {
	limit, ok := l.limit(name)
	if !ok || !l.share.Valid(now) {
		return -1
	}
	rate, size := l.terms.bucket(limit)
	left, parts := -1.0, l.terms.parts()
	for i := range parts {
		if since, ok := l.share.Owned[partition(l.share, name, i, parts)]; ok {
			b := bucket{}
			if p, ok := l.pots[name]; ok {
				b = p.buckets[i]
			}
			b.refill(since, rate, size, now)
			left = max(0, left) + b.tokens
		}
	}
	return left
}
