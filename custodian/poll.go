package custodian

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// An entry that has waited for a right, but not undisturbed for a lease, can't tell whether
// one of an earlier assignment still exists: partitions may have been reassigned several
// times without its notice. It then asks the others in a poll, which belongs to one
// generation. Each entry of that generation that holds no right to the partitions asked
// for disclaims them, and names its own partitions. If those of all that have disclaimed are
// all partitions, no entry holds a right:
//
//   - An entry disclaims once the generation is confirmed, so its partitions are final, and
//     none of those asked for is among them. In that generation it can't get a right to one.
//   - It disclaims no more in a generation once it has heard of a later one, in which it may
//     have passed a right on.
//   - Entries without partitions need not disclaim: partitions are distributed evenly, so
//     there are none while an entry has two.
//   - Members that the store no longer lists have no rights: a lease is as long as a
//     membership. Only a store that was restored may have forgotten members sooner, so an
//     entry begins no poll until a lease after its first answer of the store.

// Disclaimer tells an entry that another one holds no right to the partitions that the entry
// asks for.
type Disclaimer struct {
	// From is the entry that holds none.
	From netip.Addr `cbor:"0,keyasint"`
	Poll ClaimID    `cbor:"1,keyasint"`
	// Assigned are the partitions that are assigned to it.
	Assigned []Partition `cbor:"2,keyasint,omitempty"`
}

// DisclaimerMsg carries a disclaimer of another entry.
type DisclaimerMsg struct{ Disclaimer Disclaimer }

// DisclaimCmd sends a disclaimer to the entry that asks for it.
type DisclaimCmd struct {
	To         netip.Addr
	Disclaimer Disclaimer
}

func (DisclaimerMsg) msg() {}
func (DisclaimCmd) cmd()   {}

// poll is the question whether any entry holds a right to some partitions.
type poll struct {
	id ClaimID
	// claims are the claims to the partitions that the poll asks for. Only they are granted.
	claims map[Partition]ClaimID
	// disclaimed holds the partitions of the entries that hold no right to them.
	disclaimed map[netip.Addr][]Partition
}

// mayPoll tells whether the entry has been in touch with this store for a lease, and lacks
// rights.
func (c *Custodian) mayPoll(now time.Time) bool {
	if c.knownSince.IsZero() || now.Before(c.knownSince.Add(c.lease)) {
		return false
	}
	for _, r := range c.records {
		if r.assigned && r.claim != 0 {
			return true
		}
	}
	return false
}

// beginPoll begins a poll, if rights are missing and the generation is confirmed.
func (c *Custodian) beginPoll(now time.Time) []Cmd {
	if c.poll != nil || !c.mayPoll(now) || !c.confirmed || c.heard > c.generation {
		return nil
	}
	c.poll = &poll{id: ClaimID(c.newID()), claims: c.claim().Wanted, disclaimed: map[netip.Addr][]Partition{}}
	c.grant(now)
	c.interval, c.claimedAt = minClaimInterval, now
	return []Cmd{SpreadCmd{Claim: c.claim()}}
}

// confirmSoon asks the store to confirm the generation if a poll has to wait for that, unless
// the rights may still be on their way.
func (c *Custodian) confirmSoon(now time.Time) []Cmd {
	if c.confirmed || !c.mayPoll(now) || now.Sub(c.claimedAt) < minClaimInterval || now.Sub(c.renewedAt) < minClaimInterval {
		return nil
	}
	c.renewedAt = now
	return []Cmd{RenewCmd{}}
}

// disclaim answers a claim with a poll, if this entry holds no right that it asks for and can
// get none in its generation. Rights that this entry held have been passed on before.
func (c *Custodian) disclaim(claim Claim) []Cmd {
	switch {
	case claim.Poll == 0, claim.Generation != c.generation, c.heard > c.generation:
		return nil
	case !c.confirmed:
		return []Cmd{RenewCmd{}}
	}
	d := Disclaimer{From: c.self, Poll: claim.Poll}
	for _, p := range slices.Sorted(maps.Keys(c.records)) {
		r := c.records[p]
		if _, wanted := claim.Wanted[p]; wanted && (r.assigned || r.right) {
			return nil
		}
		if r.assigned {
			d.Assigned = append(d.Assigned, p)
		}
	}
	return []Cmd{DisclaimCmd{To: claim.From, Disclaimer: d}}
}

// hearDisclaimer counts a disclaimer.
func (c *Custodian) hearDisclaimer(d Disclaimer, now time.Time) {
	if c.poll == nil || d.Poll != c.poll.id || d.From == c.self {
		return
	}
	c.poll.disclaimed[d.From] = d.Assigned
	c.grant(now)
}

// grant grants the rights that the poll asks for if no other entry holds one.
func (c *Custodian) grant(now time.Time) {
	if !c.isUnanimous() {
		return
	}
	for p, id := range c.poll.claims {
		if r := c.records[p]; r != nil && r.assigned && r.claim == id {
			r.right, r.since, r.claim = true, now, 0
		}
	}
	c.poll = nil
}

// isUnanimous tells whether all entries with partitions have disclaimed. As long as each has
// one only, there may be others without.
func (c *Custodian) isUnanimous() bool {
	entries, covered := 1, c.assigned()
	for _, partitions := range c.poll.disclaimed {
		entries++
		for _, p := range partitions {
			if c.exists(p) {
				covered[p] = true
			}
		}
	}
	return len(covered) == c.total && entries < c.total
}

// assigned returns the set of the partitions that are assigned to the entry.
func (c *Custodian) assigned() map[Partition]bool {
	set := map[Partition]bool{}
	for p, r := range c.records {
		if r.assigned {
			set[p] = true
		}
	}
	return set
}
