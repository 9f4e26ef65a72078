// Package registrar says which entry owns which share of the fleet's limits
// and idempotency keys.
//
// There is a fixed number of shares. Records of the log hand them out: a share
// is claimed when nobody owns it, transferred by its owner, or taken from an
// owner whose VM is gone. Since all entries read the same order of records, a
// share has one owner, and no clock is needed to say who:
//
//	table, moved := table.Fold(record, offset, time)
//	owner, ok := table.Owner(share)
//
// An owner that is slow to learn that it lost a share can't harm: it is the
// owner itself that gives shares away, and one that is gone for good does
// nothing any more.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryroad.dev/loader"
)

// Shares is the number of shares. It never changes, since the keys and limits
// of a share would otherwise have two owners for a moment.
const Shares = 64

// Share numbers a share, from 0 to Shares-1.
type Share int

// Term orders the owners of a share: it is the offset of the record by which
// an owner got it.
type Term int64

// Incarnation names one run of an entry's process.
type Incarnation string

// Owner is an entry that may own shares.
type Owner struct {
	// Incarnation is the run of its process.
	Incarnation Incarnation
	// Entry is the name of the entry VM, as the platform's list has it.
	Entry loader.EntryName
	// Peer is where other entries reach it.
	Peer netip.AddrPort
}

// Held is the state of one share.
type Held struct {
	// Owner is zero while nobody owns the share.
	Owner Owner
	// Term is that of the owner.
	Term Term
	// Handed is set when the owner before gave the share away himself.
	Handed bool
	// ForgottenAt is when an owner last took its memory of the share's keys
	// with it, by the log's clock; zero if none ever did.
	ForgottenAt time.Time
}

// Table is the state of all shares after some prefix of the log. Tables are
// values: Fold leaves its receiver as it was.
type Table struct {
	// Held has the length Shares, or 0 when no share was ever owned.
	Held []Held
}

// Record is a Claim, a Transfer or an Eviction; exactly one is set.
type Record struct {
	Claim    *Claim    `json:",omitempty"`
	Transfer *Transfer `json:",omitempty"`
	Eviction *Eviction `json:",omitempty"`
}

// Claim asks for shares that nobody owns.
type Claim struct {
	Owner  Owner
	Shares []Share
}

// Transfer gives an owner's shares to another entry, which has received the
// memory of their keys.
type Transfer struct {
	From   Incarnation
	To     Owner
	Shares []Share
}

// Eviction takes every share from an incarnation that is gone for good.
type Eviction struct{ Gone Incarnation }

// Fold returns the table after a record that the log took at that offset and
// time, and how many shares changed hands.
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

// Owner returns the owner of a share.
func (t Table) Owner(s Share) (Owner, bool) {
	if len(t.Held) == 0 || !s.valid() {
		return Owner{}, false
	}
	o := t.Held[s].Owner
	return o, o.Incarnation != ""
}

// OwnedBy lists the shares of an incarnation, in order.
func (t Table) OwnedBy(i Incarnation) []Share {
	var all []Share
	for s, h := range t.Held {
		if h.Owner.Incarnation == i {
			all = append(all, Share(s))
		}
	}
	return all
}

// Evicted lists the owners that lost a share by eviction between this table
// and a later one.
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

// Vacant lists the shares that nobody owns, in order.
func (t Table) Vacant() []Share {
	var all []Share
	for s := range Share(Shares) {
		if _, ok := t.Owner(s); !ok {
			all = append(all, s)
		}
	}
	return all
}

// Owners lists every owner once, in order of incarnation.
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

// Part returns how much of a limit belongs to the owner of those shares. Over
// all owners the parts add up to the limit at most. The name spreads small
// limits over different shares.
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
