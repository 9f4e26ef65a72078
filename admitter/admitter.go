// Package admitter decides in which order the requests of a service get a target,
// how long they wait for one, and which are refused.
//
// A request looks for a target at once unless others that wait go first. One that finds
// none waits until it has the turn to look again; only one of the waiting requests looks at a
// time:
//
//	ticket, verdict := queue.Enter(request, now)
//	// Look: look for a target. On success queue.Placed(ticket, now), otherwise
//	// verdict = queue.NoRoom(ticket, roomIn, now).
//	// Wait: wait for ticket.Turn, whose verdict queue.Turn returns, but only until
//	// Wait.Until, and call queue.Wake after Wait.LookAfter.
//	// Refuse: answer that the request did not run.
//
// The package starts no goroutines and does no I/O. The current time and the source
// of random numbers are passed in.
package admitter

import (
	"slices"
	"sync"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/router"
)

const (
	// maxWaiting is the largest number of requests that wait for a service at one
	// entry.
	maxWaiting = 256
	// fairEvery is how often the turn goes to the request that has waited longest,
	// so that no class of requests is shut out for good: once in fairEvery turns.
	fairEvery = 8
)

// Request describes what decides when a request is placed.
type Request struct {
	// Rank is the urgency of the request.
	Rank router.Rank
	// Organisation is the one that the caller belongs to; empty if that isn't known.
	Organisation loader.OrganisationName
	// Within is the time from its arrival in which an answer is on time.
	Within time.Duration
	// Patience is the time that the caller says it still waits; 0 if it doesn't.
	Patience time.Duration
	// Objective is when the answer is late, and Deadline when the caller stops
	// waiting.
	Objective, Deadline time.Time
	// Work is the least time between the choice of a target and the answer.
	Work time.Duration
}

// onTime reports whether a request that is placed now can be answered within its
// objective.
func (r Request) onTime(now time.Time) bool { return !now.Add(r.Work).After(r.Objective) }

// spare is the time for which a request can wait without being late.
func (r Request) spare(now time.Time) time.Duration {
	end := r.Objective
	if r.Deadline.Before(end) {
		end = r.Deadline
	}
	return end.Add(-r.Work).Sub(now)
}

// latestStart is the time after which the request can't be answered any more.
func (r Request) latestStart() time.Time { return r.Deadline.Add(-r.Work) }

// waitEnd is when the request is refused if it still waits: halfway between its
// objective and its deadline, so that the caller has time to come back.
func (r Request) waitEnd() time.Time {
	end := r.Objective.Add(r.Deadline.Sub(r.Objective) / 2)
	if latest := r.latestStart(); latest.Before(end) {
		return latest
	}
	return end
}

// Ticket is a request's place in a Queue. Its unexported fields are guarded by the
// mutex of the queue.
type Ticket struct {
	request Request
	entered time.Time
	turn    chan struct{}
	// restUntil is when a request that is late or yields may look again.
	restUntil time.Time
	// waiting is set while the ticket is in the queue, and looking from the turn
	// on until the look has ended.
	waiting, looking bool
	// held is set while the level of the service keeps the request from looking, and
	// turnedAway once it has refused to admit it after that.
	held, turnedAway bool
	// cameLate is set if the caller has come back too late for an answer to be on time.
	cameLate bool
}

// Turn receives a value when the request may look for a target again.
func (t *Ticket) Turn() <-chan struct{} { return t.turn }

// Verdict is what a request does next: Look, Wait or Refuse.
type Verdict interface{ verdict() }

// Look tells the request to look for a target now.
type Look struct{}

// Wait tells the request to wait for its turn.
type Wait struct {
	// Until is when the request is refused if it still waits.
	Until time.Time
	// LookAfter is the time after which room is expected. The owner of the queue
	// then calls Wake; 0 means that a call is under way.
	LookAfter time.Duration
}

// Refuse tells the request to be refused. It did not run.
type Refuse struct {
	Reason Reason
	// Ahead is the number of waiting requests that go first, and Rate how many
	// requests per second were placed while others waited; 0 if that isn't known.
	Ahead int
	Rate  float64
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

func (Look) verdict()   {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Queue holds the requests of one service that wait at one entry. It is safe for
// concurrent use.
type Queue struct {
	random func() float64

	mu      sync.Mutex
	waiting []*Ticket
	// looking counts the tickets of waiting whose turn it is; at most one.
	looking int
	// turns counts the turns that were given.
	turns int
	// placed is the rate at which requests are placed while others wait, and placedLate
	// that of late ones while such wait.
	placed, placedLate rate
	returns            returns
	limits             Limits
	// level decides which requests may look under pressure; nil admits all.
	level *Level
	// held are the tickets that wait for the level to admit them.
	held []*Ticket
}

// Limits tells how many requests of this entry the limits that targets have named
// allow, and for how long they want none. Its methods are called with the queue locked.
type Limits interface {
	// Allowance returns the number of requests allowed within a time, and false if
	// there is no limit.
	Allowance(within time.Duration, now time.Time) (int, bool)
	// LimitDelay returns the time until a request is allowed, and false if none ever
	// will be.
	LimitDelay(now time.Time) (time.Duration, bool)
	// PauseLeft returns the time until a target wants requests again; 0 if one does.
	PauseLeft(now time.Time) time.Duration
}

// Option configures a Queue.
type Option func(*Queue)

// WithLimits makes the queue refuse the requests that limits of targets don't allow in
// time; by default there are none.
func WithLimits(l Limits) Option { return func(q *Queue) { q.limits = l } }

// WithLevel makes the queue refuse or hold the requests that the level of the service
// doesn't admit; by default all are.
func WithLevel(l *Level) Option { return func(q *Queue) { q.level = l } }

// New returns an empty queue. The random numbers are from 0 to 1.
func New(random func() float64, opts ...Option) *Queue {
	q := &Queue{random: random, limits: noLimits{}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Enter adds a request. It looks at once if none that waits goes before it. It is
// refused if it can't be answered, be it that it is placed now or after those that go
// before it.
func (q *Queue) Enter(r Request, now time.Time) (*Ticket, Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	t := &Ticket{request: r, entered: now, turn: make(chan struct{}, 1)}
	if refusal, ok := q.refuse(t, now); ok {
		return t, refusal
	}
	if q.level != nil {
		admitted, late := q.level.Admit(r, now)
		t.cameLate = late
		if !admitted && late {
			return t, q.refusal(t, Pressed, now)
		}
		if !admitted {
			return t, q.hold(t, now)
		}
	}
	if q.ahead(t, now) == 0 {
		return t, Look{}
	}
	if q.pressed(now) && q.allRest(now) {
		// Nobody looks soon who would wake it.
		return t, q.enqueue(t, max(maxLookAfter, t.request.spare(now)/behindLooks))
	}
	return t, q.enqueue(t, 0)
}

// NoRoom ends a look that found no target. RoomIn is when one is expected to have
// room.
func (q *Queue) NoRoom(t *Ticket, roomIn time.Duration, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.endLook(t)
	if refusal, ok := q.refuse(t, now); ok {
		q.remove(t)
		return refusal
	}
	if q.pressed(now) && !t.request.onTime(now) {
		q.remove(t)
		q.giveTurn(now)
		return q.refusal(t, Pressed, now)
	}
	if q.yields(t, now) {
		rest := t.request.spare(now) / yieldLooks
		t.restUntil = now.Add(rest)
		return q.enqueue(t, rest)
	}
	// Until the targets want a request and their limits allow it, a look finds nothing.
	limited, _ := q.limits.LimitDelay(now)
	limited = max(limited, q.limits.PauseLeft(now))
	if t.request.onTime(now) {
		return q.enqueue(t, max(limited, lookAfter(roomIn)))
	}
	t.restUntil = now.Add(lateLookInterval)
	return q.enqueue(t, max(limited, lateLookInterval))
}

// Placed ends the look of a request that got a target. The next one may look, as
// there may be more room.
func (q *Queue) Placed(t *Ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if len(q.waiting) > 0 {
		q.placed.placed++
		if !t.request.onTime(now) {
			q.placedLate.placed++
		}
	}
	q.endLook(t)
	q.remove(t)
	q.giveTurn(now)
}

// Leave removes a request that waits no longer. It has no effect after Placed.
func (q *Queue) Leave(t *Ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if t.held {
		q.release(t)
	}
	if !t.waiting {
		return
	}
	q.endLook(t)
	q.remove(t)
	// The call of Wake on which those behind it rely may have found only it.
	q.giveTurn(now)
}

// Wake lets the next request look, if any waits. It is called when there may be room.
func (q *Queue) Wake(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.admitHeld(now)
	q.turnAway(now)
	q.giveTurn(now)
}

// Refusal returns the refusal of a request that has waited as long as it could.
func (q *Queue) Refusal(t *Ticket, now time.Time) Refuse {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	if t.held {
		return q.refusal(t, Pressed, now)
	}
	return q.refusal(t, NoRoom, now)
}

// Len returns the number of waiting requests, and how many of them can still be
// answered within their objective.
func (q *Queue) Len(now time.Time) (waiting, onTime int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.waiting {
		if t.request.onTime(now) {
			onTime++
		}
	}
	return len(q.waiting), onTime
}

// advance counts the time since the last call in the rates.
func (q *Queue) advance(now time.Time) {
	late := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return !t.request.onTime(now) })
	q.placed.advance(now, len(q.waiting) > 0)
	q.placedLate.advance(now, late)
}

// enqueue adds the ticket to those that wait, unless it is one of them.
func (q *Queue) enqueue(t *Ticket, lookAfter time.Duration) Wait {
	if !t.waiting {
		t.waiting = true
		q.waiting = append(q.waiting, t)
	}
	return Wait{Until: t.request.waitEnd(), LookAfter: lookAfter}
}

// endLook takes the turn from a ticket that has it.
func (q *Queue) endLook(t *Ticket) {
	if t.looking {
		t.looking = false
		q.looking--
	}
}

// remove takes a ticket out of those that wait.
func (q *Queue) remove(t *Ticket) {
	if t.waiting {
		t.waiting = false
		q.waiting = slices.DeleteFunc(q.waiting, func(o *Ticket) bool { return o == t })
	}
}

// giveTurn gives the turn to the first waiting request, unless one has it.
func (q *Queue) giveTurn(now time.Time) {
	if q.looking > 0 {
		return
	}
	var next *Ticket
	fair := q.turns%fairEvery == fairEvery-1
	for _, t := range q.waiting {
		switch {
		case now.After(t.request.waitEnd()), now.Before(t.restUntil):
			// It is about to be refused, or rests.
		case next == nil, fair && t.entered.Before(next.entered), !fair && t.before(next, now):
			next = t
		}
	}
	if next == nil {
		return
	}
	q.turns++
	q.looking++
	next.looking = true
	select {
	case next.turn <- struct{}{}:
	default: // an earlier turn was not taken
	}
}
