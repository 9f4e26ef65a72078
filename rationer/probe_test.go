package rationer

import (
	"testing"
	"time"
)

// A storm of requests that each look for room several times costs no more than
// the bound; beyond it, one check a look after the allowance of a window.
func TestProbesStayWithinTheBound(t *testing.T) {
	const perTarget, targets, part, seconds = 60, 40, 1.0 / 16, 120
	for _, looks := range []int{20, 100, 400} {
		var p Probes
		p.SetRate(perTarget, targets, part)
		sent := 0
		for tick := range looks * seconds {
			now := start.Add(time.Duration(tick) * time.Second / time.Duration(looks))
			sent += p.Take(6, now)
		}
		bound := perTarget * targets * part * seconds
		least := float64(looks*seconds*leastProbes) + perTarget*targets*part*probeWindow.Seconds()
		if looks*leastProbes < perTarget*targets*part {
			least = 0
		}
		if float64(sent) > max(bound, least) {
			t.Errorf("%d looks a second: %d checks in %d s, of %.0f", looks, sent, seconds, bound)
		}
		if scarce := p.Scarce(); scarce != (looks > 20) {
			t.Errorf("%d looks a second: scarce is %v", looks, scarce)
		}
	}
	var unbound Probes
	if got := unbound.Take(6, start); got != 6 || unbound.Scarce() {
		t.Errorf("without a bound %d checks of 6", got)
	}
}
