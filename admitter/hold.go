package admitter

import (
	"slices"
	"time"
)

const (
	// minHold is the shortest time for which a request is held. A shorter one only
	// delays the refusal.
	minHold = 400 * time.Millisecond
	// holdFraction is the part of its objective for which a request is held until it is
	// decided again whether it may look.
	holdFraction = 0.1
	// yieldLooks is the part of the time that a request can wait without being late that
	// lies between two looks while it yields.
	yieldLooks = 4
	// behindLooks is the part of that time after which a request looks that came while
	// those ahead of it yield.
	behindLooks = 8
	// holdGrace is how long after that a held request is refused that has got no turn.
	holdGrace = 100 * time.Millisecond
)

// hold holds a request that the level doesn't admit, if it can wait without being late,
// and else refuses it.
func (q *Queue) hold(t *Ticket, now time.Time) Verdict {
	d := time.Duration(holdFraction * float64(t.request.Within))
	if d < minHold || t.request.spare(now) < 2*d || len(q.held) >= maxWaiting {
		return q.refusal(t, Pressed, now)
	}
	t.held, t.restUntil = true, now.Add(d)
	q.held = append(q.held, t)
	until := t.restUntil.Add(holdGrace)
	if end := t.request.waitEnd(); end.Before(until) {
		until = end
	}
	return Wait{Until: until, LookAfter: d}
}

// admitHeld gives the turn to the held requests whose time has come, or to all once there
// is room: to look if the level admits them, or to be refused.
func (q *Queue) admitHeld(now time.Time) {
	for _, t := range slices.Clone(q.held) {
		if now.Before(t.restUntil) && q.pressed(now) {
			continue
		}
		q.release(t)
		t.turnedAway = !q.level.AdmitHeld(t.request, now)
		select {
		case t.turn <- struct{}{}:
		default: // an earlier turn was not taken
		}
	}
}

// Yields reports whether a request leaves the room beyond the saturation of targets to
// others: it can wait without being late, and under pressure others can't.
func (q *Queue) Yields(t *Ticket, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.yields(t, now)
}

func (q *Queue) yields(t *Ticket, now time.Time) bool {
	return q.pressed(now) && t.request.spare(now) >= minHold
}

// Turn returns what a request does that has got the turn: it looks, or is refused if the
// level doesn't admit it, or it is late and others are not.
func (q *Queue) Turn(t *Ticket, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if !t.turnedAway && (t.request.onTime(now) || !q.pressed(now)) {
		return Look{}
	}
	q.endLook(t)
	q.remove(t)
	q.giveTurn(now)
	return q.refusal(t, Pressed, now)
}

// turnAway gives the turn to the late requests under pressure, to be refused.
func (q *Queue) turnAway(now time.Time) {
	if len(q.waiting) == 0 || !q.pressed(now) {
		return
	}
	for _, t := range q.waiting {
		if t.request.onTime(now) || t.looking {
			continue
		}
		select {
		case t.turn <- struct{}{}:
		default: // it has the turn
		}
	}
}

// release takes a ticket out of those that are held.
func (q *Queue) release(t *Ticket) {
	t.held = false
	q.held = slices.DeleteFunc(q.held, func(o *Ticket) bool { return o == t })
}

// pressed reports whether the level refuses requests.
func (q *Queue) pressed(now time.Time) bool { return q.level != nil && q.level.Pressed(now) }
