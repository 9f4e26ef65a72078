// Package custodian decides which partitions of the fleet's limits an entry may use. It
// does no I/O.
//
// The store assigns each partition to one entry, but may reassign it before the former one
// has learned of that. At any moment, at most one entry holds the right to a partition:
//
//   - A right ends a lease after the request whose answer last listed the partition, by the
//     holder's own clock. It also ends when the process was suspended.
//   - An entry to which a partition is assigned broadcasts a claim. The holder, even if it
//     has not learned of the reassignment, stops and passes its right on.
//   - If no one passes it on, the entry waits until every right of an earlier assignment
//     has ended, or until all entries have told that they hold none (poll). A process that
//     was started again has the rights of the former one at once, if the assignment hasn't
//     changed since that one had them.
//
// Everything that is divided by partitions relies on this rule alone: cold limits, limits
// that targets name, the slack of retries, and quotas of organisations.
package custodian

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// minClaimInterval is the time between the first two claims. It doubles up to
	// maxClaimInterval.
	minClaimInterval = 300 * time.Millisecond
	maxClaimInterval = 4 * time.Second
	// announceInterval is the time after which an entry tells again what it has, for those
	// that have missed it.
	announceInterval = 15 * time.Second
	// askInterval is the time after which an entry that knows too few others asks again.
	askInterval = 500 * time.Millisecond
)

// Partition is the number of a partition.
type Partition int

// Generation numbers the changes of the assignment.
type Generation uint64

// ClaimID identifies a claim to a partition, so that a right that was passed on arrives once.
type ClaimID uint64

// Claim tells what is assigned to an entry.
type Claim struct {
	// From is the entry, as a relayed message doesn't show it.
	From       netip.Addr `cbor:"0,keyasint"`
	Generation Generation `cbor:"1,keyasint"`
	// Wanted are the partitions to which the entry has no right yet.
	Wanted map[Partition]ClaimID `cbor:"2,keyasint,omitempty"`
	// Held are the others.
	Held []Partition `cbor:"3,keyasint,omitempty"`
	// Poll identifies the poll whether any entry holds a right to those of Wanted; 0 for
	// none.
	Poll ClaimID `cbor:"4,keyasint,omitempty"`
}

// Release passes on the rights to partitions.
type Release struct {
	Claims map[Partition]ClaimID `cbor:"0,keyasint"`
}

// Msg is an event that may change the rights.
type Msg interface{ msg() }

// AssignedMsg carries an answer of the store.
type AssignedMsg struct {
	Partitions []Partition
	Generation Generation
	// RequestedAt is when the answer was requested, earlier by the time for which the machine
	// was suspended since.
	RequestedAt time.Time
	// Restored is set if the store may have gone back in time since the last answer.
	Restored bool
	// First is set if no entry has ever been in the group before.
	First bool
	// Inherited are the partitions that a former process of this entry, which has ended,
	// held in this generation.
	Inherited []Partition
}

// ClaimMsg carries a claim of another entry.
type ClaimMsg struct{ Claim Claim }

// ReleaseMsg carries rights that another entry passes on.
type ReleaseMsg struct{ Release Release }

// LearnMsg carries claims that another entry has heard of.
type LearnMsg struct{ Claims []Claim }

// WhoMsg reports that another entry asks which entries the partitions are assigned to.
type WhoMsg struct{ From netip.Addr }

// SuspendedMsg reports that the machine was suspended.
type SuspendedMsg struct{}

// TickMsg reports that time has passed.
type TickMsg struct{}

func (AssignedMsg) msg()  {}
func (ClaimMsg) msg()     {}
func (ReleaseMsg) msg()   {}
func (LearnMsg) msg()     {}
func (WhoMsg) msg()       {}
func (SuspendedMsg) msg() {}
func (TickMsg) msg()      {}

// Cmd is an effect that the caller of Update executes.
type Cmd interface{ cmd() }

// SpreadCmd broadcasts a claim.
type SpreadCmd struct{ Claim Claim }

// TellCmd sends rights to the entry that claims them.
type TellCmd struct {
	To      netip.Addr
	Release Release
}

// AskCmd asks any other entry which entries the partitions are assigned to.
type AskCmd struct{}

// TeachCmd answers such a question.
type TeachCmd struct {
	To     netip.Addr
	Claims []Claim
}

// RenewCmd asks the store again soon: another entry has learned of a later assignment.
type RenewCmd struct{}

func (SpreadCmd) cmd() {}
func (TellCmd) cmd()   {}
func (AskCmd) cmd()    {}
func (TeachCmd) cmd()  {}
func (RenewCmd) cmd()  {}

// record is what an entry knows of a partition.
type record struct {
	// assigned is set while the store's latest answer lists the partition.
	assigned bool
	// right is set while the entry has the right, which it uses only if assigned is set too.
	right bool
	// until is a lease after the request whose answer last listed the partition.
	until time.Time
	// waitFrom is a time since which no other entry has been assigned the partition.
	waitFrom time.Time
	// since is when the entry began to use the right.
	since time.Time
	// claim identifies the claim under way; 0 if there is none.
	claim ClaimID
	// passed is the claim of another entry to which the right was passed on.
	passed ClaimID
}

// Custodian holds the rights of one entry. It is not safe for concurrent use.
type Custodian struct {
	self  netip.Addr
	total int
	lease time.Duration
	// newID returns a number that no claim has had.
	newID func() uint64

	records    map[Partition]*record
	generation Generation
	// confirmed is set once a second answer has had the generation.
	confirmed bool
	claimedAt time.Time
	interval  time.Duration
	// knownSince is the time of the first answer of the store since it was restored.
	knownSince time.Time
	// heard is the latest generation that another entry has claimed in since this one last
	// asked the store, and heardAt the time of the claim.
	heard   Generation
	heardAt time.Time
	// poll is the poll under way, and renewedAt when a renewal was last asked for to begin
	// one.
	poll      *poll
	renewedAt time.Time
	// entries holds the addresses of the entries that partitions are assigned to, known is
	// the number of those that are known, and shared is set once the slice was handed out.
	entries []netip.Addr
	known   int
	shared  bool
	askedAt time.Time
}

// New returns a custodian without rights, for the entry at an address in a fleet with a
// total number of partitions. A lease is how long an answer of the store is valid; the
// function newID returns random numbers.
func New(self netip.Addr, total int, lease time.Duration, newID func() uint64) *Custodian {
	return &Custodian{
		self: self, total: total, lease: lease, newID: newID, interval: minClaimInterval,
		records: map[Partition]*record{}, entries: make([]netip.Addr, total),
	}
}

// Update applies a message and returns the commands to execute.
func (c *Custodian) Update(msg Msg, now time.Time) []Cmd {
	c.expire(now)
	switch msg := msg.(type) {
	case AssignedMsg:
		return c.assign(msg, now)
	case ClaimMsg:
		return c.hearClaim(msg.Claim, now)
	case ReleaseMsg:
		c.accept(msg.Release, now)
	case SuspendedMsg:
		// Leases may have ended meanwhile: the clock doesn't count that time.
		for _, r := range c.records {
			r.right, r.claim, r.until = false, 0, now
		}
		c.poll = nil
	case DisclaimerMsg:
		c.hearDisclaimer(msg.Disclaimer, now)
	case LearnMsg:
		c.learn(msg.Claims)
	case WhoMsg:
		return []Cmd{TeachCmd{To: msg.From, Claims: c.directory()}}
	case TickMsg:
		cmds := slices.Concat(c.beginPoll(now), c.confirmSoon(now), c.claimAgain(now))
		if c.known < c.total*3/4 && now.Sub(c.askedAt) >= askInterval {
			c.askedAt = now
			cmds = append(cmds, AskCmd{})
		}
		return cmds
	}
	return nil
}

// Held returns the partitions that the entry may use, since when it has been, and until
// when it may.
func (c *Custodian) Held(now time.Time) (held map[Partition]time.Time, until time.Time) {
	held = map[Partition]time.Time{}
	for p, r := range c.records {
		if r.right && r.assigned && now.Before(r.until) {
			held[p], until = r.since, r.until
		}
	}
	return held, until
}

// Generation returns the generation of the latest answer.
func (c *Custodian) Generation() Generation { return c.generation }

// Assigned returns the number of partitions that are assigned to the entry.
func (c *Custodian) Assigned() int {
	n := 0
	for _, r := range c.records {
		if r.assigned {
			n++
		}
	}
	return n
}

// Entries returns the addresses of the entries that the partitions are assigned to, as far
// as this entry knows. The slice doesn't change any more.
func (c *Custodian) Entries() []netip.Addr {
	c.shared = true
	return c.entries
}

// setEntry records which entry a partition is assigned to.
func (c *Custodian) setEntry(p Partition, entry netip.Addr) {
	if !c.exists(p) || c.entries[p] == entry {
		return
	}
	if c.shared {
		c.entries, c.shared = slices.Clone(c.entries), false
	}
	if !c.entries[p].IsValid() {
		c.known++
	}
	c.entries[p] = entry
}

// directory returns what this entry knows of the assignment.
func (c *Custodian) directory() []Claim {
	byEntry := map[netip.Addr][]Partition{}
	for p, entry := range c.entries {
		if entry.IsValid() {
			byEntry[entry] = append(byEntry[entry], Partition(p))
		}
	}
	var claims []Claim
	for entry, partitions := range byEntry {
		claims = append(claims, Claim{From: entry, Held: partitions})
	}
	return claims
}

// learn applies what another entry knows, where this one knows nothing.
func (c *Custodian) learn(claims []Claim) {
	for _, claim := range claims {
		for _, p := range claim.Held {
			if c.exists(p) && !c.entries[p].IsValid() {
				c.setEntry(p, claim.From)
			}
		}
	}
}

// exists tells whether the fleet has a partition.
func (c *Custodian) exists(p Partition) bool { return p >= 0 && int(p) < c.total }

// expire ends the rights whose lease is over, and claims under them.
func (c *Custodian) expire(now time.Time) {
	for p, r := range c.records {
		if now.Before(r.until) {
			continue
		}
		r.right, r.claim = false, 0
		if !r.assigned {
			delete(c.records, p)
		}
	}
}

// assign applies an answer of the store.
func (c *Custodian) assign(msg AssignedMsg, now time.Time) []Cmd {
	// A single change can't take a partition away and give it back, two can. A change may
	// take effect with the second answer that has it.
	repeated := msg.Generation == c.generation
	continuous := !msg.Restored && (repeated || c.confirmed && msg.Generation == c.generation+1)
	changed := msg.Restored || !repeated
	if msg.Restored || c.knownSince.IsZero() {
		c.knownSince = now
	}
	if msg.RequestedAt.After(c.heardAt) {
		c.heard = 0
	}
	c.generation, c.confirmed = msg.Generation, repeated && !msg.Restored
	listed := make(map[Partition]bool, len(msg.Partitions))
	for _, p := range msg.Partitions {
		listed[p] = true
		changed = c.list(p, msg, continuous, now) || changed
	}
	for p, r := range c.records {
		if !listed[p] && r.assigned {
			r.assigned, r.claim = false, 0
			changed = true
		}
	}
	if changed {
		c.poll = nil
	}
	if cmds := c.beginPoll(now); len(cmds) > 0 {
		return cmds
	}
	if changed {
		c.interval, c.claimedAt = minClaimInterval, now
		return []Cmd{SpreadCmd{Claim: c.claim()}}
	}
	return c.claimAgain(now)
}

// list applies an answer of the store that lists a partition. It reports whether that is new.
func (c *Custodian) list(p Partition, msg AssignedMsg, continuous bool, now time.Time) bool {
	r, ok := c.records[p]
	if !ok {
		r = &record{}
		c.records[p] = r
	}
	c.setEntry(p, c.self)
	if !r.assigned || !continuous {
		r.waitFrom = now
	}
	added := !r.assigned
	if added {
		r.since = now
	}
	r.assigned, r.until = true, msg.RequestedAt.Add(c.lease)
	if r.right || !now.Before(r.until) {
		return added
	}
	if msg.First || slices.Contains(msg.Inherited, p) || !msg.RequestedAt.Before(r.waitFrom.Add(c.lease)) {
		r.right, r.since, r.claim = true, now, 0
		return added
	}
	if r.claim == 0 {
		r.claim = ClaimID(c.newID())
	}
	return added
}

// hearClaim passes on the rights that another entry claims. One whose assignment is older
// than that of this entry gets none.
func (c *Custodian) hearClaim(claim Claim, now time.Time) []Cmd {
	if claim.From == c.self {
		return nil
	}
	if claim.Generation > c.generation {
		c.heard, c.heardAt = max(c.heard, claim.Generation), now
	}
	for _, p := range claim.Held {
		c.setEntry(p, claim.From)
	}
	passed := map[Partition]ClaimID{}
	for p, id := range claim.Wanted {
		r, ok := c.records[p]
		if !c.exists(p) || ok && r.assigned && claim.Generation <= c.generation {
			continue
		}
		c.setEntry(p, claim.From)
		switch {
		case !ok:
		case r.passed == id:
			passed[p] = id // the message was lost
		case r.right:
			// An answer that was asked for before doesn't give the right back.
			r.right, r.passed, r.waitFrom = false, id, now
			passed[p] = id
		}
	}
	var cmds []Cmd
	if len(passed) > 0 {
		cmds = append(cmds, TellCmd{To: claim.From, Release: Release{Claims: passed}})
	}
	if claim.Generation > c.generation {
		cmds = append(cmds, RenewCmd{})
	}
	return append(cmds, c.disclaim(claim)...)
}

// accept takes over the rights that another entry passes on.
func (c *Custodian) accept(release Release, now time.Time) {
	for p, id := range release.Claims {
		if r, ok := c.records[p]; ok && r.assigned && r.claim != 0 && r.claim == id {
			r.right, r.since, r.claim = true, now, 0
		}
	}
}

// claimAgain repeats the claim if one is under way, and otherwise tells from time to time
// what the entry has.
func (c *Custodian) claimAgain(now time.Time) []Cmd {
	claim := c.claim()
	due := c.interval
	if len(claim.Wanted) == 0 {
		due = announceInterval
	}
	if len(claim.Wanted)+len(claim.Held) == 0 || now.Sub(c.claimedAt) < due {
		return nil
	}
	c.claimedAt, c.interval = now, min(2*c.interval, maxClaimInterval)
	return []Cmd{SpreadCmd{Claim: claim}}
}

// claim returns what the entry tells the others.
func (c *Custodian) claim() Claim {
	claim := Claim{From: c.self, Generation: c.generation}
	for _, p := range slices.Sorted(maps.Keys(c.records)) {
		switch r := c.records[p]; {
		case !r.assigned:
		case r.right:
			claim.Held = append(claim.Held, p)
		case r.claim != 0:
			if claim.Wanted == nil {
				claim.Wanted = map[Partition]ClaimID{}
			}
			claim.Wanted[p] = r.claim
		}
	}
	if c.poll != nil && len(claim.Wanted) > 0 {
		claim.Poll = c.poll.id
	}
	return claim
}
