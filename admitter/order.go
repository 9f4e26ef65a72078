package admitter

import "time"

// before reports whether the ticket gets a target before another. Requests that can
// be on time go before those that can't: a target that is given to a late one makes
// another one late, in a burst in the end all of them. Among those that can, the more
// urgent route goes first, then the one with the least time left. Among late ones only
// the time left until the deadline counts.
func (t *Ticket) before(other *Ticket, now time.Time) bool {
	onTime, otherOnTime := t.request.onTime(now), other.request.onTime(now)
	if onTime != otherOnTime {
		return onTime
	}
	if !onTime {
		return t.request.Deadline.Before(other.request.Deadline)
	}
	a, b := t.request, other.request
	if a.Rank != b.Rank {
		return a.Rank.Before(b.Rank)
	}
	return a.Objective.Before(b.Objective)
}

// ahead counts the waiting requests that get a target before t.
func (q *Queue) ahead(t *Ticket, now time.Time) int {
	n := 0
	for _, o := range q.waiting {
		if o != t && o.before(t, now) {
			n++
		}
	}
	return n
}

// allRest reports whether the waiting requests rest, so that none of them looks soon.
func (q *Queue) allRest(now time.Time) bool {
	for _, t := range q.waiting {
		if t.looking || !now.Before(t.restUntil) {
			return false
		}
	}
	return true
}
