// Package warmer limits the outstanding calls to a target in cold start, over
// all entries together.
//
// Each target has a home: the entry that owns the target's share. The home
// raises the target's level as good answers come in, and announces it to the
// other entries. Each entry uses at most its part of the level:
//
//	limit := registrar.Part(name, ramp.Level.Allowed, owned)
//
// No entry applies a higher level than the home announced, and the parts of a
// level add up to that level. The sum over all entries therefore stays within
// the cold limit until the home has raised the level.
package warmer

import "savoryroad.dev/registrar"

// minGoodAnswers is the minimum number of consecutive good answers that raise a
// level above the cold limit.
const minGoodAnswers = 4

// Level is the limit on a target's outstanding calls from all entries together.
type Level struct {
	// Term is the term of the home that announced the level.
	Term registrar.Term
	// Epoch is the number of times that the target went cold within the term.
	Epoch int
	// Allowed is the limit in calls; 0 means that the target is warm and has no
	// limit.
	Allowed int
}

// Warm reports whether the target has no cold start limit.
func (l Level) Warm() bool { return l.Allowed == 0 }

// newer reports whether l replaces other. Terms are compared first, then epochs;
// within an epoch a level only rises.
func (l Level) newer(other Level) bool {
	switch {
	case l.Term != other.Term:
		return l.Term > other.Term
	case l.Epoch != other.Epoch:
		return l.Epoch > other.Epoch
	case other.Warm():
		return false
	default:
		return l.Warm() || l.Allowed > other.Allowed
	}
}

// Ramp is one entry's state of a target's cold start.
type Ramp struct {
	// Level is the latest level that this entry received or, as home, set.
	Level Level
	// Home is set while this entry is the target's home.
	Home bool
	// coldSuspected is set when this entry, not being the home, saw the target
	// fail. It is cleared by a level with a newer epoch or term, or when this
	// entry becomes the home.
	coldSuspected bool
	// goodAnswers is the number of consecutive good answers at the current level.
	goodAnswers int
	limits      Limits
}

// Limits configures the cold start of a target.
type Limits struct {
	// Cold is the limit at the beginning of a cold start, in calls.
	Cold int
	// Answers is the number of consecutive good answers that raise the level above
	// Cold.
	Answers int
	// Full is the limit, in calls, from which on a target counts as warm.
	Full int
	// Capped keeps the limit Full on a target that reached it, instead of
	// removing the limit.
	Capped bool
}

// New returns the ramp of a target without any history, which counts as cold.
func New(l Limits) Ramp {
	return Ramp{Level: Level{Allowed: l.Cold}, limits: l}
}

// Allowed returns the limit that applies at this entry, in calls from all
// entries, or 0 for none.
func (r Ramp) Allowed() int {
	if r.coldSuspected {
		return r.limits.Cold
	}
	return r.Level.Allowed
}

// Answered records an answer and reports whether the level rose; the caller then
// announces it. Only the home raises the level.
func (r *Ramp) Answered(good bool) bool {
	if !r.Home || r.Level.Warm() || r.limits.Capped && r.Level.Allowed >= r.limits.Full {
		return false
	}
	if !good {
		r.goodAnswers = 0
		return false
	}
	r.goodAnswers++
	if r.goodAnswers < r.answersToRaise() {
		return false
	}
	r.goodAnswers = 0
	r.Level.Allowed *= 2
	if r.Level.Allowed < r.limits.Full {
		return true
	}
	r.Level.Allowed = 0
	if r.limits.Capped {
		r.Level.Allowed = r.limits.Full
	}
	return true
}

// answersToRaise returns the number of consecutive good answers that raise the
// current level.
func (r *Ramp) answersToRaise() int {
	if r.Level.Allowed <= r.limits.Cold {
		return r.limits.Answers
	}
	return max(minGoodAnswers, 2*r.Level.Allowed)
}

// Failed records a sign that the target restarted. It reports whether the caller
// has to send News: the home its new level to the other entries, another entry
// the failure to the home.
func (r *Ramp) Failed() bool {
	if r.Home {
		if r.Level.Allowed == r.limits.Cold && r.goodAnswers == 0 {
			return false
		}
		r.Level.Epoch++
		r.Level.Allowed = r.limits.Cold
		r.goodAnswers = 0
		return true
	}
	wasSuspected := r.coldSuspected
	r.coldSuspected = true
	return !wasSuspected
}

// Hear applies a level that the home announced and reports whether it was newer
// than the present one; an older one is ignored.
func (r *Ramp) Hear(l Level) bool {
	if !l.newer(r.Level) {
		return false
	}
	if l.Term > r.Level.Term || l.Epoch > r.Level.Epoch {
		r.coldSuspected = false
	}
	r.Level = l
	return true
}

// Settle sets whether this entry is the home, and since which term. A new home
// continues at its present level if the previous home handed the share over and
// this entry saw no failure of the target, and at the cold limit otherwise. It
// reports whether the caller has to announce the level.
func (r *Ramp) Settle(home bool, term registrar.Term, handedOver bool) bool {
	becameHome := home && (!r.Home || r.Level.Term != term)
	r.Home = home
	if !becameHome {
		return false
	}
	level := Level{Term: term, Allowed: r.limits.Cold}
	if handedOver && !r.coldSuspected {
		level.Allowed = r.Level.Allowed
	}
	r.Level = level
	r.coldSuspected = false
	r.goodAnswers = 0
	return true
}

// Configure applies changed limits. A target that isn't warm restarts at the new
// cold limit.
func (r *Ramp) Configure(l Limits) {
	if r.limits == l {
		return
	}
	r.limits = l
	if !r.Level.Warm() {
		r.Level.Allowed = l.Cold
	}
}
