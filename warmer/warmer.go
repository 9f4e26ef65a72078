// Package warmer decides how many calls a target in cold start bears, for all
// entries together.
//
// Each target has a home: the entry that owns the target's share. The home
// lets the target's level rise as its answers show that it bears more, and
// tells the other entries; each uses its part of the level and no more:
//
//	limit := registrar.Part(name, ramp.Level.Allowed, owned)
//
// No entry ever acts on a higher level than its home announced, and the parts
// of one level add up to that level. So the sum over all entries stays within
// the cold limit until the home itself has seen that the target bears more.
package warmer

import "savoryroad.dev/registrar"

// minAnswers is the least number of good answers in a row that raise a level.
const minAnswers = 4

// Level is how many calls a target may have outstanding from all entries.
type Level struct {
	// Term is that of the home that announced the level.
	Term registrar.Term
	// Epoch counts, within the term, how often the target went cold.
	Epoch int
	// Allowed is the limit; it is 0 when the target is warm and has none.
	Allowed int
}

// Warm tells whether the target bears full load.
func (l Level) Warm() bool { return l.Allowed == 0 }

// newer tells whether a level replaces another one.
func (l Level) newer(o Level) bool {
	switch {
	case l.Term != o.Term:
		return l.Term > o.Term
	case l.Epoch != o.Epoch:
		return l.Epoch > o.Epoch
	case o.Warm():
		return false
	default:
		return l.Warm() || l.Allowed > o.Allowed
	}
}

// Ramp is what one entry knows of a target's warmth.
type Ramp struct {
	// Level is the one in force at this entry.
	Level Level
	// Home is set while this entry is the target's home.
	Home bool
	// suspected is set when this entry saw the target fail, until the home
	// answers with a newer epoch or term.
	suspected bool
	// good counts the good answers at the present level.
	good   int
	limits Limits
}

// Limits say how a target warms up.
type Limits struct {
	// Cold is the limit in cold start.
	Cold int
	// Answers is the number of good answers in a row that end a cold start.
	Answers int
	// Full is the limit from which on a target counts as warm.
	Full int
	// Capped is set when a target that bears its full limit is kept at that
	// limit, in place of having none.
	Capped bool
}

// New returns the ramp of a target of which nothing is known; it counts as
// cold.
func New(l Limits) Ramp {
	return Ramp{Level: Level{Allowed: l.Cold}, limits: l}
}

// Allowed returns the limit that this entry goes by, or 0 for none.
func (r Ramp) Allowed() int {
	if r.suspected {
		return r.limits.Cold
	}
	return r.Level.Allowed
}

// Answered notes an answer, and tells whether the level rose, which is to be
// announced. Only the home raises it.
func (r *Ramp) Answered(good bool) bool {
	if !r.Home || r.Level.Warm() || r.limits.Capped && r.Level.Allowed >= r.limits.Full {
		return false
	}
	if !good {
		r.good = 0
		return false
	}
	r.good++
	if r.good < r.wanted() {
		return false
	}
	r.good = 0
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

// wanted is the number of good answers that raise the present level.
func (r *Ramp) wanted() int {
	if r.Level.Allowed <= r.limits.Cold {
		return r.limits.Answers
	}
	return max(minAnswers, 2*r.Level.Allowed)
}

// Failed notes a sign that the target started anew. It tells whether somebody
// is to be told: the others by the home, the home by the others.
func (r *Ramp) Failed() bool {
	if r.Home {
		if r.Level.Allowed == r.limits.Cold && r.good == 0 {
			return false
		}
		r.Level.Epoch++
		r.Level.Allowed = r.limits.Cold
		r.good = 0
		return true
	}
	was := r.suspected
	r.suspected = true
	return !was
}

// Hear takes a level that the home announced, if it is news, and tells whether
// it was.
func (r *Ramp) Hear(l Level) bool {
	if !l.newer(r.Level) {
		return false
	}
	if l.Term > r.Level.Term || l.Epoch > r.Level.Epoch {
		r.suspected = false
	}
	r.Level = l
	return true
}

// Settle takes over whether this entry is the home, and since which term. A
// new home goes on from the level that it knows if its predecessor handed it
// over, and from cold otherwise. It tells whether the level is to be
// announced.
func (r *Ramp) Settle(home bool, term registrar.Term, handedOver bool) bool {
	became := home && (!r.Home || r.Level.Term != term)
	r.Home = home
	if !became {
		return false
	}
	level := Level{Term: term, Allowed: r.limits.Cold}
	if handedOver && !r.suspected {
		level.Allowed = r.Level.Allowed
	}
	r.Level = level
	r.suspected = false
	r.good = 0
	return true
}

// Configure takes over changed limits.
func (r *Ramp) Configure(l Limits) {
	if r.limits == l {
		return
	}
	r.limits = l
	if !r.Level.Warm() {
		r.Level.Allowed = l.Cold
	}
}
