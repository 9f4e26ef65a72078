package admitter

import (
	"math"
	"time"
)

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why a request is refused.
type Reason int

// The reasons.
const (
	// TooLate means that the request could not be answered before its deadline even
	// if it were placed now.
	TooLate Reason = iota // deadline can't be met
	// Backlog means that the requests ahead of it take until then.
	Backlog // backlog is too long
	// NoRoom means that no target had room while the request waited.
	NoRoom // no room in time
	// Full means that as many requests wait as may.
	Full // too many requests wait
	// Limited means that the limits that targets have named don't allow it in time.
	Limited // targets limit their requests
	// Paused means that all targets want no requests until it is too late.
	Paused // targets want no requests for now
	// Pressed means that the targets of the fleet have too little room, and what goes
	// before it takes all of it.
	Pressed // too little room for all
)

const (
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller
	// comes back.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterFraction is the part of the time left until the deadline that a
	// caller may be told to stay away. A later return leaves little time to serve it.
	retryAfterFraction = 1.0 / 3
	// minLookAfter and maxLookAfter bound the time between two looks of waiting
	// requests. Room that other entries' requests leave is found by looking only.
	minLookAfter = 4 * time.Millisecond
	maxLookAfter = 20 * time.Millisecond
	// lateLookInterval is the time between two looks of a request that will be late.
	// Many entries that look often would find each moment in which a few targets are
	// idle, also in an overload.
	lateLookInterval = 100 * time.Millisecond
	// lateTolerance is how many times longer than it may wait a late request is expected
	// to wait when it is refused. The rate at which late ones are placed is the average
	// of a few.
	lateTolerance = 2
)

// refuse returns a refusal if it is known that the request can't be served.
func (q *Queue) refuse(t *Ticket, now time.Time) (Refuse, bool) {
	latest := t.request.latestStart()
	if now.After(latest) {
		return q.refusal(t, TooLate, now), true
	}
	if q.limits.PauseLeft(now) > max(0, t.request.waitEnd().Sub(now)) {
		return q.refusal(t, Paused, now), true
	}
	if !q.limitsAllow(t, now) {
		return q.refusal(t, Limited, now), true
	}
	if t.waiting {
		return Refuse{}, false
	}
	if len(q.waiting) >= maxWaiting {
		return q.refusal(t, Full, now), true
	}
	ahead := q.ahead(t, now)
	if ahead > 0 && now.Add(q.placed.timeFor(ahead+1)).After(t.request.waitEnd()) {
		return q.refusal(t, Backlog, now), true
	}
	return Refuse{}, false
}

// limitsAllow reports whether the limits of targets allow the request in time, be it only
// as a late one, at the rate at which those lately got a target.
func (q *Queue) limitsAllow(t *Ticket, now time.Time) bool {
	r := t.request
	allowed, limited := q.limits.Allowance(r.waitEnd().Sub(now), now)
	switch {
	case !limited:
		return true
	case t.waiting:
		return allowed > 0
	}
	onTime, _ := q.limits.Allowance(r.Objective.Add(-r.Work).Sub(now), now)
	if onTime > q.ahead(t, now) {
		return true
	}
	n := len(q.waiting) + 1
	return allowed >= n && q.placedLate.timeFor(n) <= lateTolerance*r.waitEnd().Sub(now)
}

// refusal returns a refusal with the delay after which the backlog is expected to be
// gone. Callers that are refused one after the other are told to come back at the
// rate at which requests are placed, or at which limits of targets allow them, in the
// order in which they came; all at once they would only be refused again.
func (q *Queue) refusal(t *Ticket, reason Reason, now time.Time) Refuse {
	rate, _ := q.placed.perSecond()
	longest := min(maxRetryAfter, time.Duration(retryAfterFraction*float64(t.request.Deadline.Sub(now))))
	longest = max(minRetryAfter, longest)
	interval := q.placed.timeFor(1)
	if n, limited := q.limits.Allowance(longest, now); limited && n > 0 {
		interval = max(interval, longest/time.Duration(n))
	}
	backlog := max(minRetryAfter, q.limits.PauseLeft(now), time.Duration(len(q.waiting)+1)*interval)
	if reason == Pressed {
		backlog = longest
		if spare := t.request.spare(now) / 2; spare >= minHold && !t.cameLate {
			backlog = min(spare, longest)
		}
	}
	delay := backlog
	if reason != Pressed {
		delay = q.returns.next(now, backlog, interval, longest).Sub(now)
	}
	// The jitter keeps callers of other entries, who were told the same, apart.
	delay += time.Duration(q.random() * float64(min(delay/4, maxRetryAfter/4)))
	return Refuse{Reason: reason, Ahead: q.ahead(t, now), Rate: rate, RetryAfter: delay}
}

// noLimits is a service without limits.
type noLimits struct{}

// Allowance implements [Limits].
func (noLimits) Allowance(time.Duration, time.Time) (int, bool) { return 0, false }

// LimitDelay implements [Limits].
func (noLimits) LimitDelay(time.Time) (time.Duration, bool) { return 0, true }

// PauseLeft implements [Limits].
func (noLimits) PauseLeft(time.Time) time.Duration { return 0 }

// lookAfter bounds the time until the next look.
func lookAfter(roomIn time.Duration) time.Duration {
	return min(max(roomIn, minLookAfter), maxLookAfter)
}

// returns spreads the returns of refused callers.
type returns struct{ last time.Time }

// next returns when the next caller should come back: after the backlog and one
// interval after the caller before it, but no later than longest from now.
func (r *returns) next(now time.Time, backlog, interval, longest time.Duration) time.Time {
	at := now.Add(backlog)
	if after := r.last.Add(interval); after.After(at) {
		at = after
	}
	if limit := now.Add(longest); at.After(limit) {
		at = limit
	}
	if at.After(r.last) {
		r.last = at
	}
	return at
}

const (
	// rateWindow is the time constant of the average rate at which requests are
	// placed.
	rateWindow = 2 * time.Second
	// minBusyTime is the time in which requests waited from which the rate is known.
	minBusyTime = 250 * time.Millisecond
	// rateTTL is how long the rate is known after a request last waited.
	rateTTL = 5 * time.Second
)

// rate is the rate at which requests are placed while others wait, as an exponentially
// weighted average. At other times it would only show how few requests there are.
type rate struct {
	placed float64
	busy   time.Duration
	at     time.Time
	// idle is the time since a request last waited.
	idle time.Duration
}

// advance counts the time since the last call, if requests waited.
func (r *rate) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(r.at)
	r.at = now
	if elapsed <= 0 {
		return
	}
	if !waiting {
		if r.idle += elapsed; r.idle > rateTTL {
			r.placed, r.busy = 0, 0
		}
		return
	}
	r.idle = 0
	decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.placed *= decay
	r.busy = time.Duration(decay*float64(r.busy)) + elapsed
}

// perSecond returns the number of requests placed per second; false if it isn't known.
// One more than were placed is assumed, since in a short time none may have been by
// chance.
func (r *rate) perSecond() (float64, bool) {
	if r.busy < minBusyTime {
		return 0, false
	}
	return (r.placed + 1) / r.busy.Seconds(), true
}

// timeFor returns the time in which n requests are placed; 0 if the rate isn't known.
func (r *rate) timeFor(n int) time.Duration {
	perSecond, ok := r.perSecond()
	if !ok {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}
