package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/admitter"
)

// scarceLookInterval is the time between two looks for a target while the limit on
// health checks is used up.
const scarceLookInterval = 250 * time.Millisecond

// selectTarget selects a target, or waits in the service's queue for one. While the
// entry is stopping it doesn't wait: another entry has more time for the call.
func (c *call) selectTarget(ctx context.Context) (selection, callResult) {
	q, now := c.service.admitter, time.Now()
	ticket, verdict := q.Enter(c.admission(now), now)
	defer func() { q.Leave(ticket, time.Now()) }()
	var earliest time.Duration
	for {
		switch v := verdict.(type) {
		case admitter.Look:
			if refusal, blocked := c.refuseBlocked(); blocked {
				return selection{}, refusal
			}
			sel, ok := c.trySelectTarget(ctx, q.Yields(ticket, time.Now()), time.Now())
			if ok {
				q.Placed(ticket, time.Now())
				return sel, nil
			}
			earliest = sel.choice.Least
			if c.g.stopping.Load() {
				return selection{}, refused{reason: "entry is stopping", retryAfter: retryAfter(0), earliestAnswer: earliest}
			}
			verdict = q.NoRoom(ticket, sel.choice.RoomIn, time.Now())
		case admitter.Wait:
			if v.LookAfter > 0 {
				time.AfterFunc(c.service.lookInterval(v.LookAfter), func() { q.Wake(time.Now()) })
			}
			if !c.waitForTurn(ctx, ticket, v.Until) {
				if c.g.calls.Err() != nil {
					return selection{}, refused{reason: "entry is stopping", retryAfter: retryAfter(0), earliestAnswer: earliest}
				}
				if errors.Is(context.Cause(ctx), errCallerLeft) {
					return selection{}, refused{reason: errCallerLeft.Error(), retryAfter: retryAfter(0), earliestAnswer: earliest}
				}
				return selection{}, newRefused(q.Refusal(ticket, time.Now()), earliest)
			}
			verdict = q.Turn(ticket, time.Now())
		case admitter.Refuse:
			return selection{}, newRefused(v, earliest)
		}
	}
}

// lookInterval returns the time until waiting requests look for a target again: d, or
// longer while the limit on health checks is used up, of which each look sends at least
// two.
func (s *service) lookInterval(d time.Duration) time.Duration {
	if s.probeLimiter.Scarce() {
		return max(d, scarceLookInterval)
	}
	return d
}

// waitForTurn waits until the ticket has the turn. It returns false if the time or the
// context ends first.
func (c *call) waitForTurn(ctx context.Context, ticket *admitter.Ticket, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ticket.Turn():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// newRefused returns the refusal of a request that did not get a target.
func newRefused(v admitter.Refuse, earliest time.Duration) refused {
	return refused{reason: v.Reason.String(), retryAfter: v.RetryAfter, ahead: v.Ahead, rate: v.Rate, earliestAnswer: earliest}
}

// admission returns what decides when the call is placed.
func (c *call) admission(now time.Time) admitter.Request {
	return admitter.Request{
		Rank:         c.organisation.Rank(c.route.Route),
		Organisation: c.organisation.Name,
		Within:       c.route.Objective,
		Patience:     c.patience,
		Objective:    c.arrived.Add(c.route.Objective),
		Deadline:     c.g.callsEndBy(c.deadline),
		Work:         c.service.placer.Work(c.demand(now), now),
	}
}
