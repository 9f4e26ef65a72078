package limiter

import (
	"hash/fnv"
	"math"
	"time"
)

// quotaBurst is the number of requests that one quota allows at once.
const quotaBurst = 1

// Share is an entry's share of the fleet: a set out of a fixed number of
// partitions, each of which at most one entry may use at any moment (package custodian).
type Share struct {
	// Total is the number of partitions; 0 while the share is unknown.
	Total int
	// Owned maps the numbers of the partitions that the entry may use to the times since
	// when it may.
	Owned map[int]time.Time
	// Assigned is the number of partitions that the store has assigned to the entry. It may
	// not be allowed to use them yet.
	Assigned int
	// Until is when the ownership expires unless it is renewed; zero for never. A
	// process that was paused may still hold a share that others own by now.
	Until time.Time
}

// expired reports whether the entry no longer owns its partitions.
func (s Share) expired(now time.Time) bool { return !s.Until.IsZero() && !now.Before(s.Until) }

// Valid tells whether the share is known and may still be used.
func (s Share) Valid(now time.Time) bool { return s.Total > 0 && !s.expired(now) }

// Part returns the fraction of the partitions that the entry may use, from 0 to 1.
func (s Share) Part() float64 {
	if s.Total == 0 {
		return 0
	}
	return float64(len(s.Owned)) / float64(s.Total)
}

// AssignedPart returns the fraction of the partitions that are assigned to the entry, from
// 0 to 1, which shows how large the fleet is.
func (s Share) AssignedPart() float64 {
	if s.Total == 0 {
		return 0
	}
	return float64(s.Assigned) / float64(s.Total)
}

// Offset returns the number of the partition that carries the first quota of a name.
func (s Share) Offset(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() % uint64(s.Total)
}

// FleetLimit limits the requests that a target gets from the whole fleet: ColdLimit or
// NamedLimit. It is divided into equal quotas, which partitions carry.
type FleetLimit interface {
	// quotas returns the number of quotas of a target, which is at least one and
	// also bounds the number of entries that may send to it. It is the largest
	// number for which the bursts of all quotas and the rate together stay within
	// the limit.
	quotas() int
	// rate is the rate of all quotas together, in requests per second.
	rate() float64
}

// coldWindow is the time to which the peak of a cold target applies.
const coldWindow = time.Second

// ColdLimit limits the requests to a cold target.
type ColdLimit struct {
	// Rate is the rate that the target sustains, in requests per second.
	Rate float64
	// Peak is the largest number of requests in any coldWindow.
	Peak float64
}

func (l ColdLimit) quotas() int {
	return max(1, int(math.Floor((safetyFactor*l.Peak-l.Rate)/quotaBurst)))
}

func (l ColdLimit) rate() float64 { return l.Rate }

// NamedLimit is the rate, in requests per second, that a target has named as the most
// that it takes. In any namedWindow it tolerates namedExcess times of that, and
// namedSlack requests.
type NamedLimit float64

const (
	namedWindow = 4 * time.Second
	namedExcess = 1.5
	namedSlack  = 5
	// maxNamedQuotas is less than the number of partitions of a fleet, so that the
	// quotas that partitions carry add up to the whole rate.
	maxNamedQuotas = 200
	// namedReserve is the part of what a target tolerates, in requests, that is left to
	// entries without a quota that ask whether the limit still holds.
	namedReserve = 1
)

func (l NamedLimit) quotas() int {
	rate := float64(l) * namedWindow.Seconds()
	tolerated := safetyFactor*(namedExcess*rate+namedSlack) - namedReserve
	return int(min(maxNamedQuotas, max(1, math.Floor((tolerated-rate)/quotaBurst))))
}

func (l NamedLimit) rate() float64 { return float64(l) }

// Quotas are the quotas of a target that an entry may use.
type Quotas struct {
	Count int
	// Since is when the entry got the latest of them.
	Since time.Time
}

// Quotas returns which of a target's quotas the entry may use at a given time. The target's
// name determines which partitions carry them.
func (s Share) Quotas(target string, limit FleetLimit, now time.Time) Quotas {
	var q Quotas
	if s.Total == 0 || s.expired(now) {
		return q
	}
	offset := s.Offset(target)
	n := min(limit.quotas(), s.Total)
	for i := range n {
		// The quotas are spread evenly over the partitions.
		partition := int((offset + uint64(i*s.Total/n)) % uint64(s.Total))
		if since, ok := s.Owned[partition]; ok {
			q.Count++
			if since.After(q.Since) {
				q.Since = since
			}
		}
	}
	return q
}

// TokenBucket limits an entry's requests to one target to the quotas that the entry
// owns. It is not safe for concurrent use.
type TokenBucket struct {
	// tokens is the number of requests that are allowed now.
	tokens     float64
	refilledAt time.Time
}

// NewEmptyBucket returns a bucket without tokens.
func NewEmptyBucket(now time.Time) TokenBucket { return TokenBucket{refilledAt: now} }

// Refill adds the tokens for the time since the last call. The zero bucket is full. Quotas
// that the entry got since then bring no tokens along, as their former user may have spent
// them, and those that it lost meanwhile may have taken any.
func (b *TokenBucket) Refill(limit FleetLimit, quotas Quotas, now time.Time) {
	burst := float64(quotas.Count * quotaBurst)
	switch {
	case b.refilledAt.IsZero() && now.Sub(quotas.Since) >= coldWindow:
		b.tokens, b.refilledAt = burst, now
	case quotas.Since.After(b.refilledAt):
		b.tokens, b.refilledAt = 0, quotas.Since
	}
	b.tokens = min(burst, b.tokens+tokenRate(limit, quotas)*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// tokenRate returns the rate of a number of quotas, in requests per second.
func tokenRate(limit FleetLimit, quotas Quotas) float64 {
	return limit.rate() * float64(quotas.Count) / float64(limit.quotas())
}

// NextToken returns the time until a request is allowed. It returns false if none will
// be with these quotas.
func (b *TokenBucket) NextToken(limit FleetLimit, quotas Quotas) (time.Duration, bool) {
	if b.HasToken() {
		return 0, true
	}
	rate := tokenRate(limit, quotas)
	if rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), true
}

// TokensIn returns the number of requests that are allowed within a time, if each is
// sent as soon as it is allowed.
func (b *TokenBucket) TokensIn(within time.Duration, limit FleetLimit, quotas Quotas) int {
	return int(b.tokens + tokenRate(limit, quotas)*max(0, within.Seconds()))
}

// HasToken tells whether a request is allowed.
func (b *TokenBucket) HasToken() bool { return b.tokens >= 1 }

// Take removes the token of one request. The caller must have checked HasToken.
func (b *TokenBucket) Take() { b.tokens-- }
