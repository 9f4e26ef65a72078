// Package bouncer decides which connections of callers an entry admits, which requests on
// them it reads, and which connections it closes to have room for others. It does no I/O:
//
//	b := bouncer.New(bouncer.Limits{Connections: 2000, Bytes: 64 << 20})
//	g, ok := b.Enter(now)
//	...
//	for _, id := range b.Evict(now, bouncer.Shortage{}) { ... }
//	b.Leave(g)
//
// What a guest may use is taken from the limits before it is used. When they are nearly
// used up, the guests that hold most for the longest time without moving anything have to
// leave, of those whose entry waits for them. A guest that waits for its entry stays.
package bouncer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minQuiet is the time without progress from which a guest may be evicted. A caller
	// inside the configuration's limits sends the head of a request within this time.
	minQuiet = 3 * time.Second
	// minQuietUnderWay is the same for a guest whose request was passed on. A caller inside
	// the configuration's limits may be idle for as long.
	minQuietUnderWay = 15 * time.Second
	// minProgress is the number of bytes that a guest has to move to count as one that
	// moves. Guests that move less at a time can't stay by it for long.
	minProgress = 4 << 10
	// Evictions begin when more than highMark of a limit is used, and end when no more than
	// lowMark is, both in eighths.
	highMark, lowMark, markDivisor = 7, 6, 8
)

// ID identifies a guest.
type ID uint64

// Limits bound what all guests may use together.
type Limits struct {
	// Connections is the number of guests.
	Connections int
	// Bytes is the memory that connections and requests take, without bodies.
	Bytes int64
	// ConnectionBytes is what each connection takes of it.
	ConnectionBytes int64
}

// Shortage is what is missing beside what the limits bound.
type Shortage struct {
	// BodyBytes is the memory for bodies that is to be freed.
	BodyBytes int64
}

// Guest is a connection that was admitted.
type Guest struct {
	ID ID

	// The Bouncer's mutex protects the fields below.

	// taken is what the guest has of the limit on bytes.
	taken int64
	// held is what it holds beside that and keeps others from using, of which bodies are
	// memory for bodies.
	held, bodies int64
	// awaited counts the reads and writes in which the entry waits for the guest, since
	// awaitedSince. It has waited for the time waited before that, and the guest has moved
	// as many bytes as moved, since it last moved minProgress.
	awaited      int
	awaitedSince time.Time
	waited       time.Duration
	moved        int
	// underWay is set while the guest's request was passed on and isn't answered.
	underWay bool
	// evicted is set once the guest has to leave.
	evicted bool
}

// mayLeave tells whether a guest may be evicted.
func (g *Guest) mayLeave(now time.Time) bool {
	patience := minQuiet
	if g.underWay {
		patience = minQuietUnderWay
	}
	return !g.evicted && g.awaited > 0 && g.quiet(now) >= patience
}

// quiet returns for how long the entry has waited for progress of the guest.
func (g *Guest) quiet(now time.Time) time.Duration {
	if g.awaited == 0 {
		return g.waited
	}
	return g.waited + now.Sub(g.awaitedSince)
}

// Bouncer admits and evicts guests. It is safe for concurrent use.
type Bouncer struct {
	limits Limits

	mu     sync.Mutex
	guests map[ID]*Guest
	lastID ID
	// taken is the sum over the guests, of which leaving is that of evicted ones. As many
	// as leavingGuests of the guests are evicted.
	taken, leaving int64
	leavingGuests  int
}

// New returns a Bouncer without guests.
func New(limits Limits) *Bouncer { return &Bouncer{limits: limits, guests: map[ID]*Guest{}} }

//go:generate go tool stringer -type Resource -linecomment

// Resource is something that an entry may lack.
type Resource int

// Resources.
const (
	Connections Resource = iota // connections
	Memory                      // memory
)

// Verdict is the answer to Enter.
type Verdict interface{ verdict() }

// Admitted admits a guest.
type Admitted struct{ Guest *Guest }

// Refused turns a connection away, for lack of Lacking.
type Refused struct{ Lacking Resource }

func (Admitted) verdict() {}
func (Refused) verdict()  {}

// Enter admits a connection if there is room for it. The entry waits for its first bytes.
func (b *Bouncer) Enter(now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.guests) >= b.limits.Connections:
		return Refused{Connections}
	case b.taken+b.limits.ConnectionBytes > b.limits.Bytes:
		return Refused{Memory}
	}
	b.lastID++
	g := &Guest{ID: b.lastID, taken: b.limits.ConnectionBytes, awaited: 1, awaitedSince: now}
	b.taken += g.taken
	b.guests[g.ID] = g
	return Admitted{g}
}

// Leave ends the stay of a guest and returns what it had.
func (b *Bouncer) Leave(g *Guest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.guests[g.ID]; !ok {
		return
	}
	delete(b.guests, g.ID)
	b.taken -= g.taken
	if g.evicted {
		b.leaving -= g.taken
		b.leavingGuests--
	}
}

// Take takes n bytes for a guest. It returns false if there aren't as many.
func (b *Bouncer) Take(g *Guest, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.guests[g.ID]; !ok || b.taken+n > b.limits.Bytes {
		return false
	}
	b.add(g, n)
	return true
}

// Idle gives back all that a guest has taken beyond its connection. The entry waits for its
// next request.
func (b *Bouncer) Idle(g *Guest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.guests[g.ID]; !ok {
		return
	}
	b.add(g, b.limits.ConnectionBytes-g.taken)
	g.awaited, g.awaitedSince, g.waited, g.moved = 1, now, 0, 0
	g.underWay = false
}

// PassOn notes that a guest's request is passed on.
func (b *Bouncer) PassOn(g *Guest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g.underWay = true
}

// add changes what a guest has taken. The caller must hold b.mu.
func (b *Bouncer) add(g *Guest, n int64) {
	g.taken += n
	b.taken += n
	if g.evicted {
		b.leaving += n
	}
}

// Hold notes that a guest holds n more bytes that the limits don't bound, of which bodies
// are memory for bodies.
func (b *Bouncer) Hold(g *Guest, n, bodies int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g.held += n
	g.bodies += bodies
}

// Await notes that the entry begins to wait for a guest.
func (b *Bouncer) Await(g *Guest, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.awaited == 0 {
		g.awaitedSince = now
	}
	g.awaited++
}

// Moved notes that a wait for a guest has ended, in which it has moved n bytes.
func (b *Bouncer) Moved(g *Guest, n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.awaited > 0 {
		g.waited += now.Sub(g.awaitedSince)
		g.awaitedSince = now
		g.awaited--
	}
	if g.moved += n; g.moved >= minProgress {
		g.waited, g.moved = 0, 0
	}
}

// Evict returns the guests that have to leave so that there is room: none while enough is
// left of the limits and no body lacks memory. The caller closes their connections.
func (b *Bouncer) Evict(now time.Time, short Shortage) []ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes, connections := b.excess(highMark)
	if bytes <= 0 && connections <= 0 && short.BodyBytes <= 0 {
		return nil
	}
	if bytes > 0 || connections > 0 {
		bytes, connections = b.excess(lowMark)
	}
	bodies := short.BodyBytes
	var candidates []*Guest
	for _, g := range b.guests {
		switch {
		case g.evicted:
			bodies -= g.bodies
		case g.mayLeave(now):
			candidates = append(candidates, g)
		}
	}
	slices.SortFunc(candidates, func(a, b *Guest) int {
		return cmp.Or(-cmp.Compare(a.weight(now), b.weight(now)), cmp.Compare(a.ID, b.ID))
	})
	var ids []ID
	for _, g := range candidates {
		if bytes <= 0 && connections <= 0 && bodies <= 0 {
			break
		}
		if bytes <= 0 && connections <= 0 && g.held == 0 {
			continue // only bodies are short, and it has none
		}
		g.evicted = true
		b.leaving += g.taken
		b.leavingGuests++
		bytes, connections, bodies = bytes-g.taken, connections-1, bodies-g.bodies
		ids = append(ids, g.ID)
	}
	return ids
}

// weight returns how much of the entry's memory a guest has kept from others, in byte
// seconds.
func (g *Guest) weight(now time.Time) float64 {
	return float64(g.taken+g.held) * g.quiet(now).Seconds()
}

// excess returns by how much the use of the limits, without evicted guests, is above a
// number of eighths of them.
func (b *Bouncer) excess(eighths int64) (bytes int64, connections int) {
	bytes = b.taken - b.leaving - b.limits.Bytes/markDivisor*eighths
	connections = len(b.guests) - b.leavingGuests - b.limits.Connections*int(eighths)/markDivisor
	return bytes, connections
}

// Usage is what all guests use together.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what is in use.
func (b *Bouncer) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{len(b.guests), b.taken}
}
