package admitter

import (
	"math"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/router"
)

const (
	// maxClasses is the largest number of classes that are told apart.
	maxClasses = 32
	// demandWindow is the time constant of the work that a class asks for. It holds a
	// few requests of each, of which an entry sees a few per second.
	demandWindow = 10 * time.Second
	// recentDemand and usualDemand are the time constants of the requests of an
	// organisation of late, and at other times.
	recentDemand = 2 * time.Second
	usualDemand  = 60 * time.Second
	// hotFactor is how many times its usual an organisation asks for when what lies
	// beyond it is refused first, and hotRequests the number of recent requests from
	// which this is known.
	hotFactor   = 2
	hotRequests = 8
	// minCalm is the time without pressure after which the usual demand of an organisation
	// is known.
	minCalm = 5 * time.Second
	// workWeight is the weight of the latest request in the average work of its class.
	workWeight = 0.1
	// patienceQuantile is the part of the callers whose patience is below the usual, and
	// patienceStep how far one request moves the estimate.
	patienceQuantile = 0.05
	patienceStep     = 0.05
	// maxOrganisations is the largest number of organisations whose demand is known.
	maxOrganisations = 4096
)

// class is a class of requests that lose the same by being refused.
type class struct {
	rank router.Rank
	// excess is set for what an organisation asks for beyond its usual, and late for
	// callers that come back too late for an answer to be on time.
	excess, late bool
	// within is the time in which the answers are on time.
	within time.Duration
	// work is the average work of a request, in seconds, and asked the work per window
	// that requests ask for.
	work, asked float64
	// patience is the least time for which callers usually wait on their first attempt,
	// in seconds. It is known in the class that is neither excess nor late.
	patience float64
}

// mostLost reports whether class a is admitted before b. What can still be on time goes
// first, then the more urgent rank, what organisations usually ask for, and the class
// whose requests take less work: more of them are served in the same room.
func mostLost(a, b *class) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.rank != b.rank:
		return a.rank.Before(b.rank)
	case a.excess != b.excess:
		return b.excess
	default:
		return a.work < b.work
	}
}

// demand holds the work that the classes of requests ask for at an entry.
type demand struct {
	before        func(a, b *class) bool
	classes       [maxClasses]class
	n             int
	countedAt     time.Time
	organisations map[loader.OrganisationName]*usage
}

// usage is how much an organisation asks for at an entry.
type usage struct {
	// recent and usual are the numbers of requests, decayed with recentDemand and
	// usualDemand.
	recent, usual float64
	// calm is the time in which usual was counted, and at that of the last request.
	calm time.Duration
	at   time.Time
}

// count counts a request. What is usual is learned only while there is no pressure.
func (u *usage) count(pressed bool, now time.Time) {
	elapsed := now.Sub(u.at)
	u.at = now
	u.recent = u.recent*decay(elapsed, recentDemand) + 1
	if !pressed {
		u.usual = u.usual*decay(elapsed, usualDemand) + 1
		u.calm += elapsed
	}
}

// excess returns the part of the recent requests that lie beyond what is usual.
func (u *usage) excess() float64 {
	if u.recent < hotRequests || u.calm < minCalm {
		return 0
	}
	known := usualDemand.Seconds() * (1 - decay(u.calm, usualDemand))
	usual := u.usual / max(known, recentDemand.Seconds())
	return max(0, 1-hotFactor*usual*recentDemand.Seconds()/u.recent)
}

// count counts a request and returns its class. The usual demand of organisations is
// learned only while there is no pressure.
func (d *demand) count(r Request, pressed bool, draw float64, now time.Time) *class {
	excess := false
	if r.Organisation != "" {
		u := d.usage(r.Organisation, now)
		u.count(pressed, now)
		excess = draw < u.excess()
	}
	return d.ask(r, excess, d.isLate(r, pressed, now), now)
}

// isLate reports whether the caller of a request comes back so late that an answer can't
// be on time. Callers send the time for which they still wait, which differs between
// callers and is shorter each time they come back; one whose time is shorter than nearly
// all of them have on their first attempt has spent at least the difference.
func (d *demand) isLate(r Request, pressed bool, now time.Time) bool {
	c, patience := d.find(r, false, false), r.Patience.Seconds()
	if patience <= 0 {
		return false
	}
	if c.patience == 0 {
		c.patience = patience
	}
	spent := c.patience - patience
	if !pressed {
		// The estimate goes down on patienceQuantile of the requests and up on the others.
		step := patienceStep * patienceQuantile
		if spent > 0 {
			step = -patienceStep * (1 - patienceQuantile)
		}
		c.patience *= 1 + step
	}
	return spent > r.Objective.Add(-r.Work).Sub(now).Seconds()
}

// ask adds the work of a request to its class.
func (d *demand) ask(r Request, excess, late bool, now time.Time) *class {
	left := decay(now.Sub(d.countedAt), demandWindow)
	d.countedAt = now
	for i := range d.n {
		d.classes[i].asked *= left
	}
	c := d.find(r, excess, late)
	c.work += workWeight * (r.Work.Seconds() - c.work)
	c.asked += r.Work.Seconds()
	return c
}

// find returns the class of a request. A new one beyond maxClasses takes the place of that
// which is asked for least: kinds of requests come and go with the configuration.
func (d *demand) find(r Request, excess, late bool) *class {
	for i := range d.n {
		if c := &d.classes[i]; c.rank == r.Rank && c.excess == excess && c.late == late && c.within == r.Within {
			return c
		}
	}
	c := &d.classes[min(d.n, maxClasses-1)]
	if d.n < maxClasses {
		d.n++
	} else {
		for i := range d.classes {
			if o := &d.classes[i]; o.asked < c.asked {
				c = o
			}
		}
	}
	*c = class{rank: r.Rank, excess: excess, late: late, within: r.Within, work: r.Work.Seconds()}
	return c
}

// position returns the shares of the work asked for that are admitted before a class,
// and that the class asks for itself.
func (d *demand) position(c *class) (ahead, own float64) {
	total := 0.0
	for i := range d.n {
		o := &d.classes[i]
		total += o.asked
		if o != c && d.before(o, c) {
			ahead += o.asked
		}
	}
	if total == 0 {
		return 0, 1
	}
	return ahead / total, c.asked / total
}

// usage returns how much an organisation asks for. Those beyond maxOrganisations share
// one.
func (d *demand) usage(name loader.OrganisationName, now time.Time) *usage {
	u, ok := d.organisations[name]
	switch {
	case ok:
		return u
	case d.organisations == nil:
		d.organisations = map[loader.OrganisationName]*usage{}
	case len(d.organisations) >= maxOrganisations:
		name = ""
		if u, ok := d.organisations[name]; ok {
			return u
		}
	}
	u = &usage{at: now}
	d.organisations[name] = u
	return u
}

// decay returns what is left after a time of what decays with a time constant.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}
