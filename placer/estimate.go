package placer

import "time"

const (
	// estimateTTL is how long the processing time of a route is known after the last
	// answer. An estimate above the deadline of all requests prevents the answers that
	// would correct it.
	estimateTTL = 5 * time.Second
	// estimateWeight is the weight of the latest answer in the average.
	estimateWeight = 0.05
	// maxRatio bounds the effect of a single answer: the time that it took as a multiple
	// of the expected one.
	maxRatio = 2
)

// estimate is the average processing time of the requests of a route.
type estimate struct {
	// seconds is the average at the usual pace.
	seconds float64
	// answeredAt is when the latest answer was added; zero if none was.
	answeredAt time.Time
}

// isKnown reports whether an answer has confirmed the estimate of late.
func (e estimate) isKnown(now time.Time) bool { return now.Sub(e.answeredAt) <= estimateTTL }

// Basis is what the expected latency of a request was derived from. Its answer is compared
// with that, not with averages to which answers have been added since.
type Basis struct {
	// processing is the processing time of the route at the usual pace, in seconds.
	processing float64
	// slowness is that of the target, and assumedSlowdown the factor for a warm-up and for
	// the saturation of the target, which aren't measured.
	slowness, assumedSlowdown float64
}

// average returns the processing time of a demand's route at the usual pace, in seconds.
func (s *Service) average(d Demand, now time.Time) float64 {
	e, ok := s.estimates[d.Route]
	switch {
	case !ok:
		e.seconds = s.unmeasured(d)
		// A request without any time left says nothing about its route.
		if e.seconds > 0 {
			s.estimates[d.Route] = e
		}
	case !e.isKnown(now):
		return min(e.seconds, assumed(d))
	}
	return e.seconds
}

// assumed returns the processing time of a demand without any measurement, in seconds: what
// it states itself, and at most half of the time to its deadline. A longer one could keep
// its route from ever being tried and measured.
func assumed(d Demand) float64 { return min(d.Work, d.Deadline/2).Seconds() }

// unmeasured returns the processing time, in seconds, that is assumed for a route without
// measurements: the least of what is assumed for the demand and the averages of the
// service's other routes.
func (s *Service) unmeasured(d Demand) float64 {
	shortest := assumed(d)
	for _, other := range s.estimates {
		shortest = min(shortest, other.seconds)
	}
	return shortest
}

// addAnswer adds to the average of a route an answer that took a multiple of the time
// expected. An average that wasn't known any more begins with what the request was sent on.
func (s *Service) addAnswer(r Result, ratio float64, now time.Time) {
	e, ok := s.estimates[r.Route]
	if !ok || !e.isKnown(now) && r.Basis.processing < e.seconds {
		e.seconds = r.Basis.processing
	}
	measured := r.Basis.processing * min(ratio, maxRatio)
	e.seconds += estimateWeight * (measured - e.seconds)
	e.answeredAt = now
	s.estimates[r.Route] = e
}

// exceedsDeadline tells whether a target is expected to answer a request after its deadline.
// While the processing time of the route isn't known, assumed slowdowns don't count at an
// idle target, as no target may ever be tried otherwise.
func (s *Service) exceedsDeadline(t *Target, d Demand, expected time.Duration, basis Basis, now time.Time) bool {
	if t.occupancy() == 0 && !s.estimates[d.Route].isKnown(now) {
		expected = time.Duration(float64(expected) / basis.assumedSlowdown)
	}
	return expected > d.Deadline
}
