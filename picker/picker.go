// Package picker chooses the target of a call.
//
// A Pool is the choice among the targets of one service, as one entry sees
// them. It does no I/O, reads no clock and draws only from the source it is
// given, so a test drives it step by step:
//
//	pool := picker.New(loader.TwoChoices, rng, members)
//	i, ok := pool.Pick(nil)
//	pool.Release(i)
//
// A Pool is not safe for use by several goroutines.
package picker

import (
	"math/rand/v2"
	"slices"

	"savoryroad.dev/loader"
)

// Index is the place of a member in its pool.
type Index int

// Member is one target as a pool sees it.
type Member struct {
	// Limit bounds the outstanding calls of this entry; 0 means no new work.
	Limit int
	// Outstanding counts this entry's calls; it may be above Limit after the
	// limit was lowered.
	Outstanding int
	// Reported is the load that the target carried on its latest answer, in
	// calls in flight from all entries.
	Reported int
	// place is the member's position in the pool's list of those with room,
	// or -1.
	place int
}

// room tells whether the member may take another call.
func (m *Member) room() bool { return m.Outstanding < m.Limit }

// Pool chooses among the members that have room.
type Pool struct {
	policy loader.Policy
	rng    *rand.Rand
	// members holds every target of the service.
	members []Member
	// open lists the members that have room, in no order.
	open []Index
	// next is where RoundRobin goes on.
	next Index
}

// New returns a pool over the members, which it takes over.
func New(policy loader.Policy, rng *rand.Rand, members []Member) *Pool {
	p := &Pool{policy: policy, rng: rng, members: members}
	for i := range members {
		members[i].place = -1
		p.place(Index(i))
	}
	return p
}

// Len returns the number of members.
func (p *Pool) Len() int { return len(p.members) }

// Open returns the number of members that have room.
func (p *Pool) Open() int { return len(p.open) }

// Member returns a copy of a member.
func (p *Pool) Member(i Index) Member { return p.members[i] }

// Pick chooses a member with room that is not among those to avoid, and
// counts the call as outstanding there. It reports false when there is none.
func (p *Pool) Pick(avoid []Index) (Index, bool) {
	i, ok := p.choose(avoid)
	if !ok {
		return 0, false
	}
	p.members[i].Outstanding++
	p.place(i)
	return i, true
}

// Take counts a call as outstanding at that member, if it has room.
func (p *Pool) Take(i Index) bool {
	if !p.members[i].room() {
		return false
	}
	p.members[i].Outstanding++
	p.place(i)
	return true
}

// Release counts a call as no longer outstanding.
func (p *Pool) Release(i Index) {
	p.members[i].Outstanding--
	p.place(i)
}

// Report notes the load that a target carried on an answer.
func (p *Pool) Report(i Index, load int) { p.members[i].Reported = load }

// SetLimit bounds a member's outstanding calls from now on.
func (p *Pool) SetLimit(i Index, limit int) {
	p.members[i].Limit = limit
	p.place(i)
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
		return p.draw(), true
	}
}

// chooseOther draws among the open members that are not to be avoided.
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

func (p *Pool) draw() Index { return p.open[p.rng.IntN(len(p.open))] }

func (p *Pool) roundRobin() Index {
	for {
		i := p.next
		p.next = (p.next + 1) % Index(len(p.members))
		if p.members[i].room() {
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
	a, b := p.draw(), p.draw()
	if p.load(b) < p.load(a) {
		return b
	}
	return a
}

// load is what is known of a member's load: the report, which is late, and at
// the least the calls that this entry knows to be there.
func (p *Pool) load(i Index) int {
	m := &p.members[i]
	return max(m.Reported, m.Outstanding)
}

// place puts a member into the list of those with room, or takes it out.
func (p *Pool) place(i Index) {
	m := &p.members[i]
	switch {
	case m.room() && m.place < 0:
		m.place = len(p.open)
		p.open = append(p.open, i)
	case !m.room() && m.place >= 0:
		last := p.open[len(p.open)-1]
		p.open[m.place] = last
		p.members[last].place = m.place
		p.open = p.open[:len(p.open)-1]
		m.place = -1
	}
}
