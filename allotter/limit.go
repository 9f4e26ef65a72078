package allotter

import "time"

const (
	// loanTime is how long a borrowed token can be used, from before the loan was asked for.
	loanTime = 500 * time.Millisecond
	// maxParts is the largest number of parts of a quota. The loss of one entry then takes
	// no more than a sixth of it away.
	maxParts = 6
	// minPartSlack is the slack that each part has at least, in requests, so that its bucket
	// holds a few tokens however low the rate is.
	minPartSlack = 3
	// usedFraction is the fraction of the allowed requests that is used. The rest covers
	// requests that arrive a little later than they are counted.
	usedFraction = 0.95
	// partSize is the number of requests that the bucket of a part holds at least, and
	// burstFraction the fraction of the burst that all buckets hold. What is allowed beyond
	// that adds to the rate: the burst and the slack are allowed in each window anew.
	partSize      = 2
	burstFraction = 0.5
)

// Terms bound the requests of an organisation in any window.
type Terms struct {
	// Window is 0 if there are no quotas.
	Window time.Duration
	// Excess is the fraction, and Slack the number of requests, by which the requests in a
	// window may exceed the limit.
	Excess, Slack float64
}

// Limit is the quota of an organisation: a rate in requests per second, and a number of
// further requests.
type Limit struct{ Rate, Burst float64 }

// parts returns the number of parts of each quota. It doesn't depend on the limits, so that
// entries that know different configurations agree.
func (t Terms) parts() int { return min(maxParts, max(1, int(t.Slack/minPartSlack))) }

// bucket returns the rate and the size of the bucket of one part of a quota. All buckets of
// an organisation lend rate x (window + loanTime) + size tokens at most of which any can be
// used within one window.
func (t Terms) bucket(l Limit) (rate, size float64) {
	allowed := (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Excess) + t.Slack
	span := (t.Window + loanTime).Seconds()
	n := float64(t.parts())
	size = min(max(partSize*n, burstFraction*l.Burst), usedFraction*allowed)
	rate = (usedFraction*allowed - size) / span
	return rate / n, size / n
}
