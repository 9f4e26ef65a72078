// Package registrar assigns the shares of the fleet's limits and idempotency
// keys to entries.
//
// The number of shares is fixed. Records of the log assign them: an entry claims
// a share without an owner, the owner transfers it, or an eviction removes an
// owner whose VM is gone. All entries read the records in the same order, so
// that each share has one owner, independent of clocks:
//
//	table, moved := table.Fold(record, offset, time)
//	owner, ok := table.Owner(share)
//
// An owner that reads the loss of a share late does no harm: either it
// transferred the share itself, or its process no longer runs.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryroad.dev/loader"
)

// Shares is the number of shares. It must not change: while entries with
// different numbers run, a key or limit could have two owners.
const Shares = 64

// Share is the number of a share, from 0 to Shares-1.
type Share int

// Term orders the owners of a share. It is the log offset of the record that
// assigned the share to its owner.
type Term int64

// Incarnation identifies one run of an entry's process.
type Incarnation string

// Owner is an entry that may own shares.
type Owner struct {
	// Incarnation identifies the run of the entry's process.
	Incarnation Incarnation
	// Entry is the name of the entry VM in the platform's list.
	Entry loader.EntryName
	// Peer is the address at which other entries reach it.
	Peer netip.AddrPort
}

// Held is the state of one share.
type Held struct {
	// Owner is zero while the share has no owner.
	Owner Owner
	// Term is the owner's term.
	Term Term
	// Handed is set when the previous owner transferred the share.
	Handed bool
	// ForgottenAt is the time, by the log's clock, of the last eviction of an
	// owner, whose memory of the share's keys was lost; zero if there was none.
	ForgottenAt time.Time
}

// Table is the state of all shares after a prefix of the log. Fold doesn't
// change its receiver.
type Table struct {
	// Held has the length Shares, or 0 before the first record.
	Held []Held
}

// Record is a Claim, a Transfer or an Eviction; exactly one is set.
type Record struct {
	Claim    *Claim    `json:",omitempty"`
	Transfer *Transfer `json:",omitempty"`
	Eviction *Eviction `json:",omitempty"`
}

// Claim assigns shares without an owner to the claimant.
type Claim struct {
	Owner  Owner
	Shares []Share
}

// Transfer assigns an owner's shares to another entry, which has received the
// state of their keys.
type Transfer struct {
	From   Incarnation
	To     Owner
	Shares []Share
}

// Eviction removes an incarnation that no longer runs from all its shares.
type Eviction struct{ Gone Incarnation }

// Fold applies a record to a copy of the table. term is the record's offset in
// the log and at its time by the log's clock. It returns the new table and the
// number of shares whose owner changed.
func (t Table) Fold(r Record, term Term, at time.Time) (Table, int) {
	next := Table{Held: make([]Held, Shares)}
	copy(next.Held, t.Held)
	switch {
	case r.Claim != nil:
		return next, next.claim(*r.Claim, term)
	case r.Transfer != nil:
		return next, next.transfer(*r.Transfer, term)
	case r.Eviction != nil:
		return next, next.evict(*r.Eviction, at)
	}
	return next, 0
}

func (t Table) claim(c Claim, term Term) int {
	n := 0
	for _, s := range c.Shares {
		if s.valid() && t.Held[s].Owner.Incarnation == "" {
			t.Held[s].Owner, t.Held[s].Term, t.Held[s].Handed = c.Owner, term, false
			n++
		}
	}
	return n
}

func (t Table) transfer(tr Transfer, term Term) int {
	n := 0
	for _, s := range tr.Shares {
		if s.valid() && tr.From != "" && t.Held[s].Owner.Incarnation == tr.From {
			t.Held[s].Owner, t.Held[s].Term, t.Held[s].Handed = tr.To, term, true
			n++
		}
	}
	return n
}

func (t Table) evict(e Eviction, at time.Time) int {
	n := 0
	for s := range t.Held {
		if e.Gone != "" && t.Held[s].Owner.Incarnation == e.Gone {
			t.Held[s] = Held{ForgottenAt: at}
			n++
		}
	}
	return n
}

func (s Share) valid() bool { return s >= 0 && s < Shares }

// Owner returns the owner of a share. It reports false when there is none.
func (t Table) Owner(s Share) (Owner, bool) {
	if len(t.Held) == 0 || !s.valid() {
		return Owner{}, false
	}
	o := t.Held[s].Owner
	return o, o.Incarnation != ""
}

// OwnedBy returns the shares of an incarnation in ascending order.
func (t Table) OwnedBy(i Incarnation) []Share {
	var all []Share
	for s, h := range t.Held {
		if h.Owner.Incarnation == i {
			all = append(all, Share(s))
		}
	}
	return all
}

// Evicted returns the owners in this table that lost a share by eviction before
// a later one.
func (t Table) Evicted(later Table) []Incarnation {
	var all []Incarnation
	for s, h := range t.Held {
		lost := later.Held[s].ForgottenAt.After(h.ForgottenAt)
		if lost && h.Owner.Incarnation != "" && !slices.Contains(all, h.Owner.Incarnation) {
			all = append(all, h.Owner.Incarnation)
		}
	}
	return all
}

// Vacant returns the shares without an owner in ascending order.
func (t Table) Vacant() []Share {
	var all []Share
	for s := range Share(Shares) {
		if _, ok := t.Owner(s); !ok {
			all = append(all, s)
		}
	}
	return all
}

// Owners returns the distinct owners, sorted by incarnation.
func (t Table) Owners() []Owner {
	var all []Owner
	for _, h := range t.Held {
		if h.Owner.Incarnation != "" && !slices.Contains(all, h.Owner) {
			all = append(all, h.Owner)
		}
	}
	slices.SortFunc(all, func(a, b Owner) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return all
}

// ShareOf returns the share that a key belongs to.
func ShareOf(key string) Share { return Share(xxhash.Sum64String(key) % Shares) }

// Part returns the part of a limit that belongs to the owner of the shares. The
// parts of all owners add up to at most the limit. The remainder of a limit that
// Shares doesn't divide goes to the shares from ShareOf(name) on, so that
// small limits with different names fall to different shares.
func Part(name string, limit int, owned []Share) int {
	each, rest := limit/Shares, limit%Shares
	first := ShareOf(name)
	n := 0
	for _, s := range owned {
		n += each
		if int((s-first+Shares)%Shares) < rest {
			n++
		}
	}
	return n
}
