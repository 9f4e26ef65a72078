package isolator

import (
	"time"

	"savoryroad.dev/loader"
)

// Incarnation is one start of a target.
type Incarnation struct {
	Target loader.TargetName
	// Born is the start of the target's process, as a Unix time in milliseconds.
	Born int64
}

// Fate is what is known of a target that has not answered a request. A later one in this
// order replaces an earlier one, at whichever entry either was found; but one that was
// alive may since have become silent.
type Fate int

//go:generate go tool stringer -type=Fate -linecomment -output=fate_string.go

const (
	// Unknown means that nothing is known of the target since. It doesn't count, and
	// isn't told to peers.
	Unknown Fate = iota // unknown
	// Silent means that the target doesn't respond. It may be cut off.
	Silent // silent
	// Alive means that the target has responded since.
	Alive // alive
	// Ended means that the target has ended.
	Ended // ended
)

const (
	// unknownTTL is how long a target of an unknown fate is watched, and aliveTTL how
	// long one that was found alive: messages may still arrive that say otherwise, and
	// it may turn out to be a later incarnation.
	unknownTTL = 15 * time.Second
	aliveTTL   = 30 * time.Second
	// firstCheckDelay is the time until a target is checked whose fate is unknown: most
	// have responded to other requests by then. The time between two checks doubles up
	// to maxCheckInterval.
	firstCheckDelay  = 1 * time.Second
	maxCheckInterval = 4 * time.Second
	// maxOpen is the number of targets of an open fate that are kept of a case.
	maxOpen = 8
)

// open is a target of an open fate that has not answered a request.
type open struct {
	Incarnation
	// at is when the request ended without an answer, or when the target was found
	// silent under it.
	at   time.Time
	fate Fate
	// seenAt is when the target was found alive; zero if it was not.
	seenAt time.Time
	// mine is set if this entry checks the target, and tells peers of its fate.
	mine bool
}

// isStale reports whether the target is no longer watched.
func (o open) isStale(now time.Time) bool {
	return o.fate == Unknown && now.Sub(o.at) > unknownTTL || o.fate == Alive && now.Sub(o.seenAt) > aliveTTL
}

// learn replaces what is known of the fate by what is newer, and reports whether it is. A
// target that was found alive may have fallen silent under a later attempt.
func (o *open) learn(heard open) bool {
	var newer bool
	switch {
	case o.fate == Alive && heard.fate < Alive:
		newer = heard.at.After(o.seenAt)
	case heard.fate == Alive && o.fate < Alive:
		newer = heard.seenAt.After(o.at)
	default:
		newer = heard.fate > o.fate
	}
	if newer {
		heard.mine = heard.mine || o.mine
		*o = heard
		return true
	}
	o.mine = o.mine || heard.mine && heard.fate == o.fate
	return false
}

// watch is the state of a target that requests in the registry have an open fate at.
type watch struct {
	cases map[Fingerprint]struct{}
	// checkAt is when the target is checked next, and interval the time until the check
	// after that.
	checkAt  time.Time
	interval time.Duration
}

// End is a request under which a target is now known to have ended.
type End struct {
	Fingerprint Fingerprint
	// Crashes is the number of targets that are known to have ended under it.
	Crashes int
	// Mine is set if this entry had to find out.
	Mine bool
}

// Unanswered records that a target has not answered a request that ended at a time, and
// what is known of its fate by now. Half of the room for cases is kept for others than those
// in which nothing is known that counts.
func (r *Registry) Unanswered(f Fingerprint, target Incarnation, fate Fate, at, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.records[f]
	if !known && fate != Silent && len(r.records) >= maxCases/2 {
		return
	}
	c := r.record(f)
	o := open{Incarnation: target, at: at, fate: fate, mine: true}
	if fate == Alive {
		o.seenAt = now
	}
	added := r.addOpen(f, c, o, now)
	if added && fate == Silent {
		c.changed(f)
	}
	if !added && !known {
		r.remove(f, c)
		return
	}
	r.settle(f, c)
}

// addOpen adds a target of an open fate to a case, or what is new of its fate. It reports
// whether the fate is new.
func (r *Registry) addOpen(f Fingerprint, c *record, o open, now time.Time) bool {
	if c.hasCrash(o.Incarnation) || c.isVoid(o.at) || f.isAnyCaller() && c.isVouched(o.at) {
		return false
	}
	if known := c.findOpen(o.Incarnation); known != nil {
		return known.learn(o)
	}
	if len(c.open) >= maxOpen {
		r.unwatch(f, c.open[0].Incarnation)
		c.open = c.open[1:]
	}
	c.open = append(c.open, o)
	w := r.watched[o.Incarnation]
	if w == nil {
		w = &watch{cases: map[Fingerprint]struct{}{}, checkAt: now.Add(firstCheckDelay), interval: firstCheckDelay}
		r.watched[o.Incarnation] = w
	}
	w.cases[f] = struct{}{}
	r.watching.Store(int64(len(r.watched)))
	return true
}

// unwatch removes a case from those that wait for the fate of a target.
func (r *Registry) unwatch(f Fingerprint, target Incarnation) {
	w := r.watched[target]
	if w == nil {
		return
	}
	delete(w.cases, f)
	if len(w.cases) == 0 {
		delete(r.watched, target)
	}
	r.watching.Store(int64(len(r.watched)))
}

// eachOpen calls apply for the cases in which the fate of a target is open. The case loses
// the target if apply returns false.
func (r *Registry) eachOpen(target Incarnation, apply func(Fingerprint, *record, *open) bool) {
	w := r.watched[target]
	if w == nil {
		return
	}
	for f := range w.cases {
		c := r.records[f]
		if c == nil {
			r.unwatch(f, target)
			continue
		}
		if o := c.findOpen(target); o == nil || !apply(f, c, o) {
			c.removeOpen(target)
			r.unwatch(f, target)
		}
		r.settle(f, c)
	}
}

// Seen records that a target has responded to a health check that was sent at a time. It
// takes no lock while no target is watched.
func (r *Registry) Seen(target Incarnation, askedAt, now time.Time) {
	if r.watching.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eachOpen(target, func(_ Fingerprint, c *record, o *open) bool {
		if o.at.After(askedAt) {
			return true
		}
		if o.fate == Silent && o.mine {
			c.unspread, c.untold = true, true
		}
		if o.fate < Alive {
			o.fate, o.seenAt = Alive, now
		}
		return true
	})
}

// Silenced records that a target did not respond to a health check that was sent at a time.
func (r *Registry) Silenced(target Incarnation, askedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eachOpen(target, func(f Fingerprint, c *record, o *open) bool {
		if o.fate == Unknown && !o.at.After(askedAt) {
			o.fate = Silent
			c.changed(f)
		}
		return true
	})
}

// HasEnded records that a target has ended, and returns the requests under which it has. A
// target that was found alive after a request is left to Restarted.
func (r *Registry) HasEnded(target Incarnation) []End {
	return r.end(target, func(o *open) bool { return o.fate != Alive })
}

// Restarted records that a target has started again, with another name or not, at a Unix
// time in milliseconds, and returns the requests under which it had ended. One that was
// found alive after a request, but has started before that, is the later incarnation.
func (r *Registry) Restarted(target Incarnation, born int64) []End {
	return r.end(target, func(o *open) bool { return o.fate != Alive || !time.UnixMilli(born).After(o.seenAt) })
}

// end counts the requests of an open fate at a target that has ended, if they fulfil a
// condition, and drops the others.
func (r *Registry) end(target Incarnation, counts func(*open) bool) (ends []End) {
	if r.watching.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eachOpen(target, func(f Fingerprint, c *record, o *open) bool {
		if !counts(o) {
			return o.fate == Alive
		}
		mine := o.mine
		if c.add(crash{target.Target, target.Born, o.at}) {
			if mine {
				c.changed(f)
			}
			ends = append(ends, End{f, c.count(f), mine})
		}
		return false
	})
	return ends
}

// Watched returns the targets of which the fate is open.
func (r *Registry) Watched() []Incarnation {
	if r.watching.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make([]Incarnation, 0, len(r.watched))
	for t := range r.watched {
		targets = append(targets, t)
	}
	return targets
}

// Due returns the targets that this entry should check now.
func (r *Registry) Due(now time.Time) []Incarnation {
	if r.watching.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []Incarnation
	for t, w := range r.watched {
		if now.Before(w.checkAt) || !r.mustCheck(t, w) {
			continue
		}
		w.interval = min(2*w.interval, maxCheckInterval)
		w.checkAt = now.Add(w.interval)
		due = append(due, t)
	}
	return due
}

// mustCheck reports whether this entry has to find out the fate of a target.
func (r *Registry) mustCheck(target Incarnation, w *watch) bool {
	for f := range w.cases {
		if c := r.records[f]; c != nil {
			if o := c.findOpen(target); o != nil && o.mine && o.fate <= Silent {
				return true
			}
		}
	}
	return false
}
