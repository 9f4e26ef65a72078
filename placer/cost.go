package placer

import (
	"math"
	"time"

	"savoryroad.dev/limiter"
)

const (
	// Good is the cost below which probing further targets is not worth the
	// health checks: the answer is expected well within the objective.
	Good = 0.12
	// saturationThreshold is the fraction of its slots in use beyond which a
	// target slows down, and saturationSlowdown the factor by which it does.
	// Both hold for targets with 2 and with 6 slots.
	saturationThreshold = 0.8
	saturationSlowdown  = 1.7
	// coldSlowdown is the factor by which a target is slower during its warm-up.
	coldSlowdown = 2
	// onTimeFraction and lateFraction are the fractions of the time left that
	// the expected latency takes up when answers begin to be late, and when
	// most of them are.
	onTimeFraction = 0.65
	lateFraction   = 1.3
	// farCostPerKiB is the cost of each KiB sent between data centres, in lost
	// answers.
	farCostPerKiB = 0.004
	// failureCost is the cost of a target that fails every request.
	failureCost = 1.5
	// coldCost keeps cold targets in reserve while warm ones are good enough.
	coldCost = 0.3
	// unhealthyCost is the cost of a target whose health check fails.
	unhealthyCost = 3
	// outlierFailureRate and outlierSlowness are the thresholds above which a
	// target ranks behind the others as a candidate.
	outlierFailureRate = 0.25
	outlierSlowness    = 1.8
	// preferredNear and preferredFar are how many targets an entry prefers to
	// probe: enough to find a good one, and few enough that connections to
	// them are reused before the targets close them as idle.
	preferredNear = 8
	preferredFar  = 6
	// outcomeHalfLife is the time in which the effect of past requests on a
	// target's slowness and failure rate halves.
	outcomeHalfLife = 3 * time.Second
	// outcomeWeight is the weight of the latest request in these averages.
	outcomeWeight = 0.4
	// maxSlowness bounds the effect of a single slow answer.
	maxSlowness = 10
	// minBackoff is how long a target that can't be reached is no candidate;
	// the time doubles with each failure, at most maxBackoffShift times and
	// up to maxBackoff.
	minBackoff      = 250 * time.Millisecond
	maxBackoffShift = 4
	maxBackoff      = 2 * time.Second
)

// admits tells whether a target has room for one more request. As many requests
// as it has slots may wait there: they start after about the processing time of
// one request, and the other half of the target's queue is left to the requests
// that other entries send at the same time. One that leaves, or wants
// no requests for a time, has none. A cold target, and one that has named a
// limit, also needs a token of the entry's bucket.
func (s *Service) admits(t *Target, now time.Time) bool {
	if t.leaving || t.isPaused(now) || !s.limitAllows(t, now) {
		return false
	}
	if now.Before(t.coldUntil) {
		quotas := s.share.Quotas(string(t.Name), s.coldLimit, now)
		t.bucket.Refill(s.coldLimit, quotas, now)
		if !t.bucket.HasToken() {
			return false
		}
	} else {
		t.bucket = limiter.TokenBucket{}
	}
	return t.occupancy() < 2*t.slots
}

// belowSaturation tells whether a target can run one more request without
// slowing the others down; an idle one always can. Requests that will be late
// are sent only to such targets: one that is full of them answers none in time.
func (t *Target) belowSaturation() bool {
	return float64(t.occupancy()+1) <= max(1, saturationThreshold*float64(t.slots))
}

// leastPressed is the smallest number of requests that a target has while it is under
// pressure. One with few slots often has one, also when it is idle half of the time.
const leastPressed = 2

// Pressure returns the load of a target as a multiple of that from which it slows down.
func (l Load) Pressure() float64 {
	slots := max(leastPressed, math.Floor(saturationThreshold*float64(l.Slots)))
	return float64(l.Running+l.Waiting) / slots
}

// hasRoomForLate tells whether all candidates have room below saturation. In an overload
// a target is idle for moments only; a request that will be late and takes such a moment
// makes another one late.
func (s *Service) hasRoomForLate(candidates []*Target, now time.Time) bool {
	n := 0
	for _, t := range candidates {
		if t.belowSaturation() && s.admits(t, now) {
			n++
		}
	}
	return n == len(candidates)
}

// occupancy estimates the number of requests that run or wait at the target.
func (t *Target) occupancy() int {
	if t.reportedAt.IsZero() {
		return t.outstanding
	}
	return max(t.outstanding, t.load.Running+t.load.Waiting+t.sentSinceReport)
}

// expectedLatency predicts the time until the answer of a request begins.
func (s *Service) expectedLatency(t *Target, d Demand, now time.Time) (time.Duration, Basis) {
	processing, basis := s.processingTime(t, d, now)
	occupancy, slots := float64(t.occupancy()), float64(max(1, t.slots))
	return processing + time.Duration(max(0, occupancy+1-slots)/slots*float64(processing)), basis
}

// processingTime predicts the time that a target takes for one more request, without
// the time that it waits there.
func (s *Service) processingTime(t *Target, d Demand, now time.Time) (time.Duration, Basis) {
	slowness, _ := t.decayedOutcomes(now)
	basis := Basis{processing: s.average(d, now), slowness: max(1, slowness), assumedSlowdown: 1}
	if float64(t.occupancy()+1) > saturationThreshold*float64(max(1, t.slots)) {
		basis.assumedSlowdown *= saturationSlowdown
	}
	if now.Before(t.coldUntil) {
		basis.assumedSlowdown *= coldSlowdown
	}
	processing := basis.processing * basis.slowness * basis.assumedSlowdown
	if !t.reportedAt.IsZero() {
		processing *= t.load.Pace
	}
	return time.Duration(processing * float64(time.Second)), basis
}

// cost returns the cost of a target for a request, in lost answers. The part
// that is due to latency is relative to the objective, or to the deadline once
// the objective has passed.
func (s *Service) cost(t *Target, d Demand, expected time.Duration, now time.Time) float64 {
	timeLeft := d.Objective
	if timeLeft <= 0 {
		timeLeft = d.Deadline
	}
	fraction := expected.Seconds() / max(timeLeft.Seconds(), 1e-3)
	cost := 0.1 * fraction
	if fraction > onTimeFraction {
		cost += min(1, (fraction-onTimeFraction)/(lateFraction-onTimeFraction))
	}
	_, failureRate := t.decayedOutcomes(now)
	cost += failureCost * failureRate
	if t.far {
		cost += farCostPerKiB * d.KiB
	}
	if now.Before(t.coldUntil) {
		cost += coldCost
	}
	if t.unhealthy {
		cost += unhealthyCost
	}
	return cost
}

// recordOutcome updates the target's slowness and failure rate and the route's
// processing time with the result of a request. Requests that were cancelled or
// did not run don't count.
func (s *Service) recordOutcome(t *Target, r Result, now time.Time) {
	if !r.Answered && !r.Failed {
		return
	}
	slowness, failureRate := t.decayedOutcomes(now)
	if r.Failed {
		failureRate += outcomeWeight * (1 - failureRate)
	} else {
		failureRate -= outcomeWeight * failureRate
	}
	if r.Answered && r.Expected > 0 {
		ratio := r.Took.Seconds() / r.Expected.Seconds()
		// The expected time already included the slowness known at the send.
		observed := min(maxSlowness, ratio*r.Basis.slowness)
		slowness += outcomeWeight * (observed - slowness)
		s.addAnswer(r, ratio, now)
	}
	t.slowness, t.failureRate, t.recordedAt = slowness, failureRate, now
}

// decayedOutcomes returns the slowness and the failure rate, decayed towards 1
// and 0 since they were last updated.
func (t *Target) decayedOutcomes(now time.Time) (slowness, failureRate float64) {
	if t.recordedAt.IsZero() {
		return 1, 0
	}
	decay := math.Exp2(-now.Sub(t.recordedAt).Seconds() / outcomeHalfLife.Seconds())
	return 1 + (t.slowness-1)*decay, t.failureRate * decay
}
