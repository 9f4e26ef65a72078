package admitter

import (
	"testing"
	"time"

	"savoryroad.dev/limiter"
)

// limitedFrom is a limit that targets name from a time on.
func limitedFrom(from time.Duration, l limiter.NamedLimit) func(time.Duration) limiter.NamedLimit {
	return func(at time.Duration) limiter.NamedLimit {
		if at < from {
			return 0
		}
		return l
	}
}

var limitPatterns = []pattern{
	{name: "half of the requests allowed", overload: true, entries: 16, targets: 18, slots: 6, load: steady(0.35), limit: limitedFrom(500*time.Millisecond, 3.3)},
	{name: "most requests allowed", overload: true, entries: 16, targets: 18, slots: 6, load: steady(0.35), limit: limitedFrom(500*time.Millisecond, 4.8)},
	{name: "all requests allowed", entries: 16, targets: 18, slots: 6, load: steady(0.35), limit: limitedFrom(500*time.Millisecond, 6.6)},
	{name: "two seconds", entries: 16, targets: 18, slots: 6, load: steady(0.35), limit: func(at time.Duration) limiter.NamedLimit {
		if between(at, 2*time.Second, 4*time.Second) {
			return 3.3
		}
		return 0
	}},
	{name: "fewer quotas than entries", overload: true, entries: 100, targets: 12, slots: 6, load: steady(0.35), limit: limitedFrom(500*time.Millisecond, 4.8)},
}

// If all targets of a service name limits that allow fewer requests than there are, those
// that they don't allow in time are refused at once instead of being held. No fewer requests are served than by a queue that
// doesn't know the limits, but for what a replay varies by.
func TestReplayLimitedRequestsAreHeld(t *testing.T) {
	const seeds, variation = 5, 0.03
	for _, p := range limitPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.from, p.until = 2*time.Second, 5*time.Second
			var sums [policies]counts
			for seed := range uint64(seeds) {
				for _, policy := range []policy{queueing, unaware} {
					sums[policy].add(newFleet(p, policy, seed).run())
				}
			}
			aware, before := sums[queueing], sums[unaware]
			for name, c := range map[string]counts{"queue": aware, "unaware": before} {
				t.Logf("%-8s in time %.3f, served %.3f, refused %.3f, refusals held for %v, %.1f probes a request", name,
					c.share(c.inTime), c.share(c.inTime+c.late), c.share(c.refused), c.meanHold(), c.share(c.probes))
			}
			if p.overload && aware.held > before.held*2/3 {
				t.Errorf("refused requests were held for %v, without knowledge of limits %v", aware.held, before.held)
			}
			if got, want := aware.share(aware.inTime+aware.late), before.share(before.inTime+before.late); got < want-variation {
				t.Errorf("served: %.3f, without knowledge of limits %.3f", got, want)
			}
		})
	}
}

// A queue that knows the limits serves as many requests in time as one that doesn't, but
// for what a replay varies by, makes no more health checks, and holds refused requests for
// half of the time at most.
func TestReplayLimitedRequestsLoseTime(t *testing.T) {
	const seeds, variation = 12, 0.03
	for _, p := range limitPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			p.from, p.until = 2*time.Second, 5*time.Second
			var sums [policies]counts
			for seed := range uint64(seeds) {
				for _, policy := range []policy{queueing, unaware} {
					sums[policy].add(newFleet(p, policy, seed).run())
				}
			}
			aware, before := sums[queueing], sums[unaware]
			if aware.held > before.held/2 {
				t.Errorf("refused requests were held for %v, without knowledge of limits %v", aware.held, before.held)
			}
			if aware.share(aware.probes) > before.share(before.probes) {
				t.Errorf("%.2f probes a request, without knowledge of limits %.2f", aware.share(aware.probes), before.share(before.probes))
			}
			if got, want := aware.share(aware.inTime), before.share(before.inTime); got < want-variation {
				t.Errorf("in time: %.3f, without knowledge of limits %.3f", got, want)
			}
		})
	}
}

// meanHold is how long a refused attempt had waited, on average.
func (c counts) meanHold() time.Duration { return c.held / time.Duration(max(1, c.refusals)) }

// fixedLimits allow a number of requests each second, the first one after a second.
type fixedLimits struct{ perSecond int }

func (l fixedLimits) Allowance(within time.Duration, _ time.Time) (int, bool) {
	return l.perSecond * int(within/time.Second), true
}

func (l fixedLimits) PauseLeft(time.Time) time.Duration { return 0 }

func (l fixedLimits) LimitDelay(time.Time) (time.Duration, bool) {
	return time.Second, l.perSecond > 0
}

// What limits don't allow in time is refused when it comes.
func TestLimitedRequestIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		limits    Limits
		objective time.Duration
		deadline  time.Duration
		waiting   int
		refused   bool
	}{
		{"no limit", noLimits{}, time.Second, 4 * time.Second, 5, false},
		{"none allowed", fixedLimits{}, 10 * time.Second, 20 * time.Second, 0, true},
		{"allowed on time", fixedLimits{1}, 1500 * time.Millisecond, 4 * time.Second, 0, false},
		{"allowed late", fixedLimits{1}, 500 * time.Millisecond, 4 * time.Second, 0, false},
		{"allowed after the deadline", fixedLimits{1}, 500 * time.Millisecond, 900 * time.Millisecond, 0, true},
		{"taken by those ahead", fixedLimits{1}, 2500 * time.Millisecond, 2600 * time.Millisecond, 2, true},
		{"enough for all", fixedLimits{3}, 2500 * time.Millisecond, 2600 * time.Millisecond, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New(func() float64 { return 0 }, WithLimits(c.limits))
			for range c.waiting {
				wait(t, q, request(0, 2*time.Second, 9*time.Second), start)
			}
			_, verdict := q.Enter(request(0, c.objective, c.deadline), start)
			if r, refused := verdict.(Refuse); refused != c.refused || refused && r.Reason != Limited {
				t.Errorf("%+v, want refused %v", verdict, c.refused)
			}
		})
	}
}

// Until limits allow a request, those that wait don't look.
func TestNoLookBeforeLimitsAllowIt(t *testing.T) {
	q := New(func() float64 { return 0 }, WithLimits(fixedLimits{1}))
	ticket, _ := q.Enter(request(0, 3*time.Second, 9*time.Second), start)
	if v, ok := q.NoRoom(ticket, 0, start).(Wait); !ok || v.LookAfter != time.Second {
		t.Errorf("%+v, want a look after 1 s", v)
	}
}

// endingLimits allow nothing for a minute, unless they have ended.
type endingLimits struct{ ended bool }

func (l *endingLimits) Allowance(time.Duration, time.Time) (int, bool) { return 1, !l.ended }

func (l *endingLimits) PauseLeft(time.Time) time.Duration { return 0 }

func (l *endingLimits) LimitDelay(time.Time) (time.Duration, bool) {
	if l.ended {
		return 0, true
	}
	return time.Minute, true
}

// A late request that waits for limits has its turn soon after they have ended.
func TestLateRequestMissesTheEndOfLimits(t *testing.T) {
	limits := &endingLimits{}
	q := New(func() float64 { return 0 }, WithLimits(limits))
	ticket := wait(t, q, request(0, 50*time.Millisecond, 9*time.Second), start)
	limits.ended = true
	q.Wake(start.Add(lateLookInterval))
	if !hasTurn(ticket) {
		t.Error("no turn")
	}
}

// pausedLimits are targets that want no requests until a time.
type pausedLimits struct {
	noLimits
	until time.Time
}

func (l pausedLimits) PauseLeft(now time.Time) time.Duration { return max(0, l.until.Sub(now)) }

// While all targets want no requests, a request that can't wait so long is refused at
// once, and told to come back when they do; one that can waits, and looks then.
func TestRequestIsHeldWhileTargetsWantNone(t *testing.T) {
	now := time.Unix(100, 0)
	for pause, wantRefused := range map[time.Duration]bool{0: false, time.Second: false, 3 * time.Second: true, time.Hour: true} {
		q := New(func() float64 { return 0 }, WithLimits(pausedLimits{until: now.Add(pause)}))
		r := Request{Objective: now.Add(time.Second), Deadline: now.Add(4 * time.Second), Work: 100 * time.Millisecond}
		ticket, verdict := q.Enter(r, now)
		refusal, refused := verdict.(Refuse)
		if refused != wantRefused {
			t.Errorf("pause of %v: %+v", pause, verdict)
			continue
		}
		if longest := r.Deadline.Sub(now) / 3; refused && refusal.RetryAfter < min(pause, longest) {
			t.Errorf("pause of %v: retry after %v", pause, refusal.RetryAfter)
		}
		if !refused {
			if w, ok := q.NoRoom(ticket, 0, now).(Wait); !ok || w.LookAfter < pause {
				t.Errorf("pause of %v: %+v, want to look after it", pause, w)
			}
		}
	}
}
