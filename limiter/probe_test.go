package limiter

import (
	"testing"
	"time"
)

// A burst of requests that each probe for room several times must not exceed
// the limit on health checks. If the checks that are always allowed, one for
// each round of probes, exceed it alone, they may only be joined by a single
// burst.
func TestProbesStayWithinTheLimit(t *testing.T) {
	const perTarget, targets, share, seconds = 60, 40, 1.0 / 16, 120
	for _, roundsPerSecond := range []int{20, 100, 400} {
		var p Probes
		p.SetRate(perTarget, targets, share)
		sent := 0
		for tick := range roundsPerSecond * seconds {
			now := start.Add(time.Duration(tick) * time.Second / time.Duration(roundsPerSecond))
			sent += p.Take(6, now)
		}
		limit := perTarget * targets * share * seconds
		alwaysAllowed := float64(roundsPerSecond*seconds*minProbes) + perTarget*targets*share*probeBurstWindow.Seconds()
		if roundsPerSecond*minProbes < perTarget*targets*share {
			alwaysAllowed = 0
		}
		if float64(sent) > max(limit, alwaysAllowed) {
			t.Errorf("%d rounds per second: %d health checks in %d s, limit %.0f", roundsPerSecond, sent, seconds, limit)
		}
		if scarce := p.Scarce(); scarce != (roundsPerSecond > 20) {
			t.Errorf("%d rounds per second: Scarce() = %v", roundsPerSecond, scarce)
		}
	}
	var unlimited Probes
	if got := unlimited.Take(6, start); got != 6 || unlimited.Scarce() {
		t.Errorf("%d of 6 health checks allowed without a limit", got)
	}
}
