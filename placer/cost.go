package placer

import (
	"math"
	"time"

	"savoryroad.dev/rationer"
)

const (
	// Good is the cost below which looking for a better target is not worth
	// the health checks: the answer is expected well within the objective.
	Good = 0.12
	// knee is the part of its slots beyond which a target slows down, and
	// kneeSlowdown by how much: measured at targets with 2 and with 6 slots.
	knee         = 0.8
	kneeSlowdown = 1.7
	// coldSlowdown is how much slower a target works in its warm-up.
	coldSlowdown = 2
	// safeShare and lateShare are the parts of the objective at which an
	// answer begins to be late at times, and at which it mostly is.
	safeShare = 0.65
	lateShare = 1.3
	// farCostPerKiB is what a KiB between data centres costs, in answers.
	farCostPerKiB = 0.004
	// failureCost is the cost of a target that fails every request.
	failureCost = 1.5
	// coldCost spares cold targets for when they are needed.
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
	// workWeight is the weight of the latest request in a route's work.
	workWeight = 0.05
	// maxSlowness bounds the effect of a single slow answer.
	maxSlowness = 10
	// minBackoff is how long a target that can't be reached is no candidate;
	// the time doubles with each failure, at most maxBackoffShift times and
	// up to maxBackoff.
	minBackoff      = 250 * time.Millisecond
	maxBackoffShift = 4
	maxBackoff      = 2 * time.Second
)

// admits tells whether a target has room for one more request. As many as it
// has slots may wait there: they start within about one more request's time,
// and the other half of its queue is left for what other entries send
// meanwhile.
func (s *Service) admits(t *Target, now time.Time) bool {
	if now.Before(t.coldUntil) {
		owned := s.share.Tickets(string(t.Name), s.cold, now)
		t.bucket.Refill(s.cold, owned, now)
		if !t.bucket.Full() {
			return false
		}
	} else {
		t.bucket = rationer.Bucket{}
	}
	return t.busy() < 2*t.slots
}

// spare tells whether a target has room that nobody in time needs: one more
// request doesn't slow the others down. Requests that will be late get no
// other room, since a target full of them serves nobody in time.
func (t *Target) spare() bool { return float64(t.busy()+1) <= max(1, knee*float64(t.slots)) }

// busy is the number of requests at the target, as far as it is known.
func (t *Target) busy() int {
	if t.reportedAt.IsZero() {
		return t.outstanding
	}
	return max(t.outstanding, t.load.Running+t.load.Waiting+t.since)
}

// expect predicts when the answer of a request begins.
func (s *Service) expect(t *Target, d Demand, now time.Time) time.Duration {
	work, ok := s.work[d.Route]
	if !ok {
		work = s.presume(d)
		s.work[d.Route] = work
	}
	if !t.reportedAt.IsZero() {
		work *= t.load.Pace
	}
	slowness, _ := t.decayedOutcomes(now)
	work *= max(1, slowness)
	busy, slots := float64(t.busy()), float64(max(1, t.slots))
	if busy+1 > knee*slots {
		work *= kneeSlowdown
	}
	if now.Before(t.coldUntil) {
		work *= coldSlowdown
	}
	wait := max(0, busy+1-slots) / slots * work
	return time.Duration((wait + work) * float64(time.Second))
}

// presume returns how long requests of a route take of which none was measured:
// as long as the service's other requests, in seconds. The least of them is
// taken, and at most half of the time left, since a route that is never tried
// is never measured.
func (s *Service) presume(d Demand) float64 {
	work := min(d.Work, d.Deadline/2).Seconds()
	for _, other := range s.work {
		work = min(work, other)
	}
	return work
}

// cost weighs a target, in lost answers.
func (s *Service) cost(t *Target, d Demand, expected time.Duration, now time.Time) float64 {
	left := d.Objective
	if left <= 0 {
		left = d.Deadline
	}
	share := expected.Seconds() / max(left.Seconds(), 1e-3)
	cost := 0.1 * share
	if share > safeShare {
		cost += min(1, (share-safeShare)/(lateShare-safeShare))
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
		// The expected time already includes the known slowness.
		observed := min(maxSlowness, ratio*max(1, slowness))
		slowness += outcomeWeight * (observed - slowness)
		if work, ok := s.work[r.Route]; ok {
			s.work[r.Route] = work * (1 + workWeight*(min(ratio, 2)-1))
		}
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
