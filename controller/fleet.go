package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/loader"
	"savoryroad.dev/registrar"
)

const (
	// peerSilence is how long a peer that was not heard of counts as live. An
	// entry hears of each of 60 peers about twice in that time.
	peerSilence = 30 * time.Second
	// evictAfter is the number of lists in a row that must lack an owner's VM
	// for it to count as gone for good. Entries own shares only after they
	// were listed, so that a VM which is too new for the list is no owner.
	evictAfter = 3
)

// FleetDuty is an entry's part in owning the fleet's shares.
type FleetDuty struct {
	// Self is this run of the entry.
	Self registrar.Owner
	// Busy is set while a record about shares is under way.
	Busy bool
	// Peers holds the peers that were heard of, and when.
	Peers map[registrar.Incarnation]PeerSeen
	// ListKnown is set when there is a platform's list to go by.
	ListKnown bool
	// Listed holds the VMs on the latest list; nil before the first.
	Listed map[loader.EntryName]bool
	// Missing counts, for each owner of shares, the lists in a row that
	// lacked its VM.
	Missing map[loader.EntryName]int
	// LastError is the latest failure of a record about shares.
	LastError string
}

// PeerSeen is when a peer was last heard of.
type PeerSeen struct {
	Peer registrar.Owner
	At   time.Time
}

// seen notes that a peer lives; one that is new may need shares.
func (m Model) seen(msg PeerSeenMsg, now time.Time) (Model, []Cmd) {
	peer := msg.Peer
	if peer.Incarnation == "" || peer.Incarnation == m.Fleet.Self.Incarnation {
		return m, nil
	}
	_, known := m.Fleet.Peers[peer.Incarnation]
	peers := maps.Clone(m.Fleet.Peers)
	if peers == nil {
		peers = map[registrar.Incarnation]PeerSeen{}
	}
	maps.DeleteFunc(peers, func(_ registrar.Incarnation, p PeerSeen) bool {
		return now.Sub(p.At) > peerSilence
	})
	peers[peer.Incarnation] = PeerSeen{Peer: peer, At: now}
	if msg.Stopping {
		delete(peers, peer.Incarnation)
	}
	m.Fleet.Peers = peers
	if known || msg.Stopping {
		return m, nil
	}
	m, cmds := m.manageShares(now)
	return m, append(cmds, GossipCmd{})
}

// listVMs takes a new list, and counts the lists that lack an owner.
func (m Model) listVMs(names []loader.EntryName) Model {
	listed := make(map[loader.EntryName]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	missing := map[loader.EntryName]int{}
	for _, o := range m.Reader.State.Fleet.Owners() {
		if !listed[o.Entry] {
			missing[o.Entry] = m.Fleet.Missing[o.Entry] + 1
		}
	}
	m.Fleet.Listed, m.Fleet.Missing = listed, missing
	return m
}

// mayOwn tells whether an entry's VM is known to the platform, so that its end
// will be noticed.
func (d FleetDuty) mayOwn(name loader.EntryName) bool {
	return !d.ListKnown || d.Listed[name]
}

// fleetDone ends a record about shares; after a failure the next tick tries
// again.
func (m Model) fleetDone(err error, now time.Time) (Model, []Cmd) {
	m.Fleet.Busy = false
	m.Fleet.LastError = ""
	if err != nil {
		m.Fleet.LastError = err.Error()
		return m, nil
	}
	return m.manageShares(now)
}

// manageShares appends at most one record about shares at a time: it takes
// shares from entries that are gone, claims those that nobody owns, and gives
// shares away when this entry stops or has too many.
func (m Model) manageShares(now time.Time) (Model, []Cmd) {
	if m.Fleet.Busy || !m.Log.Up || !m.Reader.Synced || m.Phase == Starting {
		return m, nil
	}
	if m.Phase == Serving {
		if cmds := m.takeShares(now); len(cmds) > 0 {
			m.Fleet.Busy = true
			return m, cmds
		}
	}
	if t, ok := m.surplus(now); ok {
		m.Fleet.Busy = true
		return m, []Cmd{HandoverCmd{Transfer: t}}
	}
	return m, nil
}

// takeShares takes the shares of an owner that is gone, or claims vacant ones.
func (m Model) takeShares(now time.Time) []Cmd {
	if gone, ok := m.goneOwner(); ok {
		return []Cmd{
			FleetCmd{Record: registrar.Record{Eviction: &registrar.Eviction{Gone: gone.Incarnation}}},
			LogCmd{Level: zerolog.WarnLevel, Text: "taking the shares of an entry that is gone", Fields: []any{"Gone", string(gone.Entry)}},
		}
	}
	wanted := m.wantedShares(now)
	if len(wanted) == 0 || !m.Fleet.mayOwn(m.Fleet.Self.Entry) {
		return nil
	}
	return []Cmd{FleetCmd{Record: registrar.Record{Claim: &registrar.Claim{Owner: m.Fleet.Self, Shares: wanted}}}}
}

// goneOwner returns an owner that is certainly no longer running: an earlier
// run of this entry itself, whose addresses this run could not have opened
// otherwise, or one whose VM vanished from the platform's list.
func (m Model) goneOwner() (registrar.Owner, bool) {
	for _, o := range m.Reader.State.Fleet.Owners() {
		if o.Incarnation == m.Fleet.Self.Incarnation {
			continue
		}
		if o.Entry == m.Fleet.Self.Entry || m.Fleet.Missing[o.Entry] >= evictAfter {
			return o, true
		}
	}
	return registrar.Owner{}, false
}

// wantedShares lists the vacant shares that make up this entry's part.
func (m Model) wantedShares(now time.Time) []registrar.Share {
	vacant := m.Reader.State.Fleet.Vacant()
	mine := len(m.Reader.State.Fleet.OwnedBy(m.Fleet.Self.Incarnation))
	live := len(m.livePeers(now)) + 1
	most := (registrar.Shares+live-1)/live - mine
	return vacant[:max(0, min(most, len(vacant)))]
}

// surplus returns what to give to whom: everything when this entry stops, and
// otherwise what it has above its part, to a peer that has less.
func (m Model) surplus(now time.Time) (registrar.Transfer, bool) {
	table := m.Reader.State.Fleet
	mine := table.OwnedBy(m.Fleet.Self.Incarnation)
	peers := m.livePeers(now)
	if len(mine) == 0 || len(peers) == 0 {
		return registrar.Transfer{}, false
	}
	to := slices.MinFunc(peers, func(a, b registrar.Owner) int {
		return len(table.OwnedBy(a.Incarnation)) - len(table.OwnedBy(b.Incarnation))
	})
	n := spare(len(mine), len(table.OwnedBy(to.Incarnation)), len(peers)+1)
	if m.Phase == Stopping {
		n = (len(mine) + len(peers) - 1) / len(peers)
	}
	if n <= 0 {
		return registrar.Transfer{}, false
	}
	return registrar.Transfer{From: m.Fleet.Self.Incarnation, To: to, Shares: mine[len(mine)-n:]}, true
}

// spare is how many of its shares an entry gives to one that has fewer. Both
// come nearer to their part of the shares and neither goes past it, which is
// the part rounded up for the giver when nobody is short.
func spare(mine, theirs, entries int) int {
	low := registrar.Shares / entries
	if theirs < low {
		return min(mine-low, low-theirs)
	}
	high := (registrar.Shares + entries - 1) / entries
	return min(mine-high, high-theirs)
}

// HearsPeers tells whether any peer was heard of lately, also one that the
// platform does not list yet.
func (m Model) HearsPeers(now time.Time) bool {
	for _, p := range m.Fleet.Peers {
		if now.Sub(p.At) <= peerSilence {
			return true
		}
	}
	return false
}

// livePeers lists the peers heard of lately that may own shares, in order of incarnation.
func (m Model) livePeers(now time.Time) []registrar.Owner {
	var all []registrar.Owner
	for _, i := range slices.Sorted(maps.Keys(m.Fleet.Peers)) {
		if p := m.Fleet.Peers[i]; now.Sub(p.At) <= peerSilence && m.Fleet.mayOwn(p.Peer.Entry) {
			all = append(all, p.Peer)
		}
	}
	return all
}
