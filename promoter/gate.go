package promoter

import (
	"sync"
	"time"

	"savoryroad.dev/loader"
)

const (
	// maxCredit bounds the requests that the new version is owed, so that those that it
	// had no room for don't come at once later.
	maxCredit = 2
	// slowFactor is the multiple of the usual time from which an answer counts as slow.
	slowFactor = 2.5
)

// Gate assigns the requests of one service to the versions during a roll-out, and counts
// their answers. It is safe for concurrent use.
//
//	t := gate.Assign(false)
//	... // select a target of t.Cohort()
//	t.Send(time.Now()) // or t.Leave(), if there is none
//	t.Answer(target, answer)
//	t.Leave()
type Gate struct {
	mu sync.Mutex
	// share is the part of requests that goes to the new version. Moved is set once all
	// go there.
	share float64
	moved bool
	step  Step
	// credit is the number of requests that the new version is owed. It starts at a
	// random number below 1 and grows by the share with each request that is sent, so
	// that the entries of a fleet together neither exceed the share nor fall short of it.
	credit float64
	// baseline counts the requests that are assigned to the old version and have not
	// ended.
	baseline int
	// counted holds the answers, and unreported is set if there are new ones.
	counted    map[Cell]Tally
	unreported bool
	// usual is the usual processing time of each route, as of the first answer: the
	// answers of a slow version must not change what is usual.
	usual map[loader.RouteName]time.Duration
}

func newGate(credit float64) *Gate {
	return &Gate{credit: credit, counted: map[Cell]Tally{}, usual: map[loader.RouteName]time.Duration{}}
}

// set sets the share of the new version.
func (g *Gate) set(share float64, step Step, moved bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share, g.step, g.moved = share, step, moved
}

// add adds requests that the new version is owed.
func (g *Gate) add(credit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.credit = min(g.credit+credit, maxCredit)
}

// Ticket is the assignment of one attempt to a version. A nil ticket is that of a
// service without a roll-out.
type Ticket struct {
	gate   *Gate
	cohort loader.Cohort
	step   Step
	// paid is set if the attempt has taken credit and was not sent.
	paid, first, left bool
}

// Assign assigns an attempt to a version. A further attempt at a request goes to the old
// version, also one that the new version has failed, until all requests are moved.
func (g *Gate) Assign(further bool) *Ticket {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{gate: g, cohort: loader.Baseline, step: g.step, first: !further}
	switch {
	case g.moved:
		t.cohort = loader.Canary
	case !further && g.share > 0 && g.credit >= 1:
		g.credit--
		t.cohort, t.paid = loader.Canary, true
	default:
		g.baseline++
	}
	return t
}

// Cohort returns the targets that the attempt may be sent to.
func (t *Ticket) Cohort() loader.Cohort {
	if t == nil {
		return loader.Whole
	}
	return t.cohort
}

// FallBack assigns an attempt for which the new version has no target to the old one. It
// reports false if there is no old version any more, or the attempt isn't assigned to the
// new one.
func (t *Ticket) FallBack() bool {
	if t == nil {
		return false
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved || t.cohort != loader.Canary {
		return false
	}
	t.refund()
	t.cohort = loader.Baseline
	g.baseline++
	return true
}

// refund gives credit back that was not used. The gate is locked.
func (t *Ticket) refund() {
	if t.paid {
		t.gate.credit = min(t.gate.credit+1, maxCredit)
		t.paid = false
	}
}

// Send records that the attempt is sent. Each first attempt earns the new version its
// share.
func (t *Ticket) Send() {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.paid = false
	if t.first {
		g.credit = min(g.credit+g.share, maxCredit)
	}
}

// Leave records that the attempt has ended, or was not sent. Repeated calls have no
// effect.
func (t *Ticket) Leave() {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	t.refund()
	if t.cohort == loader.Baseline {
		t.gate.baseline--
	}
}

// Answer is how an attempt that may have run has ended.
type Answer struct {
	Route      loader.RouteName
	Target     loader.TargetName
	DataCentre loader.DataCentreName
	Failed     bool
	// Took is the time to the answer, at the pace that the target reported, and Usual
	// the usual processing time of the route.
	Took, Usual time.Duration
	// Cold is set if the target was in its warm-up.
	Cold bool
}

// Answer counts an answer. Calls after the first have no effect on others' evidence only
// if they are not made: each attempt counts once.
func (t *Ticket) Answer(a Answer) {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	cell := Cell{Route: a.Route, DataCentre: a.DataCentre, Step: t.step, Cohort: t.cohort}
	if t.cohort == loader.Canary {
		cell.Group = groupOf(a.Target)
	}
	tally := Tally{Answers: 1}
	if _, ok := g.usual[a.Route]; !ok {
		g.usual[a.Route] = a.Usual
	}
	switch {
	case a.Failed:
		tally.Failed = 1
	case !a.Cold:
		tally.Timed = 1
		if float64(a.Took) > slowFactor*float64(g.usual[a.Route]) {
			tally.Slow = 1
		}
	}
	g.counted[cell] = g.counted[cell].plus(tally)
	g.unreported = true
}

// take returns what the gate has counted, whether there are answers since the last call,
// and how many requests are under way at the old version.
func (g *Gate) take() (counted []Counted, fresh bool, baseline int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh, g.unreported = g.unreported, false
	counted = make([]Counted, 0, len(g.counted))
	for cell, tally := range g.counted {
		counted = append(counted, Counted{cell, tally})
	}
	return counted, fresh, g.baseline
}

// postpone keeps answers for the next report.
func (g *Gate) postpone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreported = true
}
