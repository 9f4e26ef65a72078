// Package picker chooses the target of a call.
//
// A Pool balances the calls of one entry over the targets of one service. It
// does no I/O, reads no clock and uses only the random source that it is given,
// which makes it deterministic in tests:
//
//	pool := picker.New(loader.TwoChoices, rng, members)
//	i, ok := pool.Pick(nil)
//	pool.Release(i)
//
// A Pool is not safe for concurrent use.
package picker

import (
	"math/rand/v2"
	"slices"

	"savoryroad.dev/loader"
)

// Index is the position of a member in the slice given to New.
type Index int

// Member is the state of one target in a pool.
type Member struct {
	// Limit is the maximum number of outstanding calls of this entry; 0 means
	// that no call is sent to the target.
	Limit int
	// Outstanding is the number of this entry's outstanding calls; it may exceed
	// Limit after the limit was lowered.
	Outstanding int
	// Reported is the load that the target reported with its latest answer, in
	// calls in flight from all entries.
	Reported int
	// openIndex is the member's position in Pool.open, or -1 without room.
	openIndex int
}

// hasRoom reports whether the member may take another call.
func (m *Member) hasRoom() bool { return m.Outstanding < m.Limit }

// Pool chooses among the members that have room.
type Pool struct {
	policy loader.Policy
	rng    *rand.Rand
	// members holds every target of the service.
	members []Member
	// open lists the members that have room, in no order.
	open []Index
	// next is the member at which RoundRobin continues.
	next Index
}

// New returns a pool of the members. The pool owns the slice from then on.
func New(policy loader.Policy, rng *rand.Rand, members []Member) *Pool {
	p := &Pool{policy: policy, rng: rng, members: members}
	for i := range members {
		members[i].openIndex = -1
		p.updateOpen(Index(i))
	}
	return p
}

// Len returns the number of members.
func (p *Pool) Len() int { return len(p.members) }

// Open returns the number of members that have room.
func (p *Pool) Open() int { return len(p.open) }

// Member returns a copy of a member.
func (p *Pool) Member(i Index) Member { return p.members[i] }

// Pick chooses a member with room that is not in avoid, and counts the call as
// outstanding there. It reports false when there is none.
func (p *Pool) Pick(avoid []Index) (Index, bool) {
	i, ok := p.choose(avoid)
	if !ok {
		return 0, false
	}
	p.members[i].Outstanding++
	p.updateOpen(i)
	return i, true
}

// Take counts a call as outstanding at a given member. It reports false when
// the member has no room.
func (p *Pool) Take(i Index) bool {
	if !p.members[i].hasRoom() {
		return false
	}
	p.members[i].Outstanding++
	p.updateOpen(i)
	return true
}

// Release counts a call as no longer outstanding.
func (p *Pool) Release(i Index) {
	p.members[i].Outstanding--
	p.updateOpen(i)
}

// Report records the load that a target reported with an answer, in calls in
// flight.
func (p *Pool) Report(i Index, load int) { p.members[i].Reported = load }

// SetLimit sets a member's limit; calls above it are not cancelled.
func (p *Pool) SetLimit(i Index, limit int) {
	p.members[i].Limit = limit
	p.updateOpen(i)
}

func (p *Pool) choose(avoid []Index) (Index, bool) {
	if len(p.open) == 0 {
		return 0, false
	}
	if len(avoid) > 0 {
		return p.chooseOther(avoid)
	}
	switch p.policy {
	case loader.RoundRobin:
		return p.roundRobin(), true
	case loader.LeastOutstanding:
		return p.least(), true
	case loader.TwoChoices:
		return p.twoChoices(), true
	default:
		return p.random(), true
	}
}

// chooseOther returns the first open member from a random start that is not in
// avoid.
func (p *Pool) chooseOther(avoid []Index) (Index, bool) {
	start := p.rng.IntN(len(p.open))
	for n := range p.open {
		i := p.open[(start+n)%len(p.open)]
		if !slices.Contains(avoid, i) {
			return i, true
		}
	}
	return 0, false
}

func (p *Pool) random() Index { return p.open[p.rng.IntN(len(p.open))] }

func (p *Pool) roundRobin() Index {
	for {
		i := p.next
		p.next = (p.next + 1) % Index(len(p.members))
		if p.members[i].hasRoom() {
			return i
		}
	}
}

// least returns an open member with the fewest outstanding calls; a tie goes
// to the first one from a random start.
func (p *Pool) least() Index {
	start := p.rng.IntN(len(p.open))
	best := p.open[start]
	for n := range p.open {
		i := p.open[(start+n)%len(p.open)]
		if p.members[i].Outstanding < p.members[best].Outstanding {
			best = i
		}
	}
	return best
}

func (p *Pool) twoChoices() Index {
	a, b := p.random(), p.random()
	if p.load(b) < p.load(a) {
		return b
	}
	return a
}

// load estimates a member's load in calls: the reported load, which may be out
// of date, but at least this entry's own outstanding calls.
func (p *Pool) load(i Index) int {
	m := &p.members[i]
	return max(m.Reported, m.Outstanding)
}

// updateOpen adds a member to open or removes it, depending on whether it has
// room.
func (p *Pool) updateOpen(i Index) {
	m := &p.members[i]
	switch {
	case m.hasRoom() && m.openIndex < 0:
		m.openIndex = len(p.open)
		p.open = append(p.open, i)
	case !m.hasRoom() && m.openIndex >= 0:
		last := p.open[len(p.open)-1]
		p.open[m.openIndex] = last
		p.members[last].openIndex = m.openIndex
		p.open = p.open[:len(p.open)-1]
		m.openIndex = -1
	}
}
