package isolator

import (
	"slices"
	"time"

	"savoryroad.dev/loader"
)

// crash is a Crash at a point in time.
type crash struct {
	target loader.TargetName
	born   int64
	at     time.Time
}

// record is the state of a case.
type record struct {
	// crashes are in order of their times, at most maxCrashes, all of them later than
	// the latest answer.
	crashes []crash
	// open holds the targets of an open fate, oldest first. None of them is in crashes.
	open []open
	// answer identifies the latest answer, and answeredAt is its time; 0 and zero if
	// there was none. An answer that is heard again keeps its time, which would
	// otherwise move on with each message.
	answer     uint64
	answeredAt time.Time
	// untold is set if something has changed that the home entries have not been told,
	// and unspread if something has that has not been broadcast.
	untold, unspread bool
	// told is set once peers know of the case.
	told bool
	// unsaved is set if the request has been blocked by a crash that this entry has
	// observed or was told directly, or unblocked by an answer that it has observed.
	unsaved bool
	// refreshAt is when the case is broadcast again.
	refreshAt time.Time
	// jitter is a random number from 0 to 1.
	jitter float64
	// counted is set while the case is one of the registry's suspects.
	counted bool
}

// add adds a crash unless it is known or from before an answer. The fate of its target is
// no longer open.
func (c *record) add(added crash) bool {
	target := Incarnation{added.target, added.born}
	c.removeOpen(target)
	if c.hasCrash(target) || c.isVoid(added.at) {
		return false
	}
	c.crashes = append(c.crashes, added)
	slices.SortFunc(c.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(c.crashes) > maxCrashes {
		oldest := c.crashes[0]
		c.crashes = slices.Delete(c.crashes, 0, 1)
		return oldest != added
	}
	return true
}

// hasCrash reports whether a target is known to have ended under the request.
func (c *record) hasCrash(target Incarnation) bool {
	return slices.ContainsFunc(c.crashes, func(k crash) bool { return k.target == target.Target && k.born == target.Born })
}

// findOpen returns a target of an open fate, or nil.
func (c *record) findOpen(target Incarnation) *open {
	for i := range c.open {
		if c.open[i].Incarnation == target {
			return &c.open[i]
		}
	}
	return nil
}

// removeOpen removes a target of an open fate.
func (c *record) removeOpen(target Incarnation) {
	c.open = slices.DeleteFunc(c.open, func(o open) bool { return o.Incarnation == target })
}

// isVoid reports whether an answer voids what happened at a time.
func (c *record) isVoid(at time.Time) bool { return c.answer != 0 && !at.After(c.answeredAt) }

// isVouched reports whether there was an answer so shortly before a time that what
// happened then isn't held against the request.
func (c *record) isVouched(at time.Time) bool {
	return c.answer != 0 && !at.After(c.answeredAt.Add(vouchTime))
}

// count returns the number of crashes that count against the request.
func (c *record) count(f Fingerprint) int {
	vouched := 0
	for _, k := range c.crashes {
		if c.isVouched(k.at) {
			vouched++
		}
	}
	n := len(c.crashes) - vouched
	if f.isAnyCaller() {
		return n
	}
	return max(n, n+vouched-vouchedCrashes)
}

// silent returns the number of targets that were silent after the request.
func (c *record) silent() (n int) {
	for _, o := range c.open {
		if o.fate == Silent && !c.isVouched(o.at) {
			n++
		}
	}
	return n
}

// claim lets this entry check the targets that are silent: those that did so may no longer
// be there.
func (c *record) claim() {
	for i := range c.open {
		c.open[i].mine = c.open[i].mine || c.open[i].fate == Silent
	}
}

// isSuspect reports whether anything counts against the request.
func (c *record) isSuspect(f Fingerprint) bool { return c.count(f) > 0 || c.silent() > 0 }

// isSpread reports whether all entries are told of the case.
func (c *record) isSpread(f Fingerprint) bool { return c.count(f)+c.silent() >= spreadFrom }

// changed notes that this entry has observed a crash, or that a target is silent.
func (c *record) changed(f Fingerprint) {
	c.untold = true
	c.unspread = c.unspread || c.isSpread(f)
	c.unsaved = c.unsaved || c.count(f) >= CrashLimit
}

// answered removes what was before an answer.
func (c *record) answered(id uint64, at time.Time) {
	if id != c.answer && at.After(c.answeredAt) {
		c.answer, c.answeredAt = id, at
	}
	c.crashes = slices.DeleteFunc(c.crashes, func(k crash) bool { return c.isVoid(k.at) })
	c.open = slices.DeleteFunc(c.open, func(o open) bool { return c.isVoid(o.at) })
}

// latest returns the time of the latest crash, silence or answer.
func (c *record) latest() time.Time {
	latest := c.answeredAt
	if n := len(c.crashes); n > 0 && c.crashes[n-1].at.After(latest) {
		latest = c.crashes[n-1].at
	}
	if n := len(c.open); n > 0 && c.open[n-1].at.After(latest) {
		latest = c.open[n-1].at
	}
	return latest
}

// blockedFor returns how long the request is blocked after its latest crash; 0 if it
// isn't.
func (c *record) blockedFor(f Fingerprint) time.Duration {
	n := c.count(f)
	if n < CrashLimit {
		return 0
	}
	d := firstBlock
	if f.isAnyCaller() {
		d = firstBlockAnyCaller
	}
	for range n - CrashLimit {
		d = min(d*blockGrowth, maxBlock)
	}
	return d
}

// blockedUntil returns the end of the time for which the request is blocked; zero if it
// never was.
func (c *record) blockedUntil(f Fingerprint) time.Time {
	d := c.blockedFor(f)
	if d == 0 {
		return time.Time{}
	}
	if f.isAnyCaller() {
		d = min(d+time.Duration(c.jitter*float64(d)), maxBlock)
	}
	return c.crashes[len(c.crashes)-1].at.Add(d)
}

// encode returns the case for a message.
func (c *record) encode(f Fingerprint, now time.Time) Case {
	out := Case{Fingerprint: f}
	for _, k := range c.crashes {
		out.Crashes = append(out.Crashes, Crash{Target: k.target, Born: k.born, Age: now.Sub(k.at)})
	}
	for _, o := range c.open {
		switch o.fate {
		case Silent:
			out.Open = append(out.Open, OpenFate{Target: o.Target, Born: o.Born, Age: now.Sub(o.at)})
		case Alive:
			out.Open = append(out.Open, OpenFate{Target: o.Target, Born: o.Born, Age: now.Sub(o.at), Alive: true, SeenAge: now.Sub(o.seenAt)})
		}
	}
	if c.answer != 0 {
		out.Answer, out.AnsweredAge = c.answer, now.Sub(c.answeredAt)
	}
	return out
}
