package tracker

import (
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
)

// News is a gossip message about one topic. It carries the latest changes, a
// snapshot of the topic, or the announcement of a retry.
type News struct {
	Topic Topic `cbor:"0,keyasint"`
	// Era is the era of the store to which From and Next belong.
	Era Era `cbor:"7,keyasint,omitempty"`
	// From and Next delimit the offsets that the changes cover: From is included,
	// Next is not. A snapshot has no From.
	From Offset `cbor:"1,keyasint"`
	Next Offset `cbor:"2,keyasint"`
	// Age is the age of the sender's view: the time since the read of the store that
	// the view is based on began.
	Age time.Duration `cbor:"3,keyasint"`
	// Snapshot is set when Changes is the complete state of the topic at Next,
	// which replaces the receiver's.
	Snapshot bool `cbor:"5,keyasint,omitempty"`
	// Retrying is set when the sender retries a read of the store that failed. The
	// message then carries only the topic.
	Retrying bool `cbor:"6,keyasint,omitempty"`
	// Changes holds the changes in order of their offsets, except in a snapshot.
	Changes []Change `cbor:"4,keyasint,omitempty"`
}

// Change is the change that one record makes, or several that were skipped. Exactly one
// field besides Offset is set. The changes of a snapshot have no offset.
type Change struct {
	Offset     Offset               `cbor:"0,keyasint"`
	Register   *placer.Registration `cbor:"1,keyasint,omitempty"`
	Unregister loader.TargetName    `cbor:"2,keyasint,omitempty"`
	// Config is a complete configuration, and Patch the difference between a
	// configuration and the one before it.
	Config   *router.Config `cbor:"3,keyasint,omitempty"`
	Patch    *router.Patch  `cbor:"5,keyasint,omitempty"`
	Evacuate *EvacuateMsg   `cbor:"4,keyasint,omitempty"`
	// Evacuated replaces the set of data centres that are out of service.
	Evacuated *EvacuatedMsg `cbor:"6,keyasint,omitempty"`
	// Rollout is an order to move a service to a version.
	Rollout *RolloutMsg `cbor:"7,keyasint,omitempty"`
}

// newChange returns the change that a record makes. The configuration before the
// record is prev.
func newChange(r ReadRecord, prev router.Config) Change {
	c := Change{Offset: r.Offset}
	switch msg := r.Msg.(type) {
	case RegisterMsg:
		c.Register = &msg.Registration
	case UnregisterMsg:
		c.Unregister = msg.Name
	case ConfigMsg:
		patch := msg.Config.Patch(prev)
		c.Patch = &patch
	case EvacuateMsg:
		c.Evacuate = &msg
	case RolloutMsg:
		c.Rollout = &msg
	}
	return c
}

// orderChanges returns the changes from a former configuration to the current state of
// the operators' topic, as of an offset.
func (m *Model) orderChanges(prevConfig router.Config, offset Offset) []Change {
	var changes []Change
	if m.Config.Version != prevConfig.Version {
		patch := m.Config.Patch(prevConfig)
		changes = append(changes, Change{Offset: offset, Patch: &patch})
	}
	// The whole set, not the difference: a receiver that has read some of the records
	// between may know of data centres that were out of service only meanwhile.
	for _, o := range m.Rollouts {
		changes = append(changes, Change{Offset: offset, Rollout: &RolloutMsg{Order: o}})
	}
	return append(changes, Change{Offset: offset, Evacuated: &EvacuatedMsg{DataCentres: m.Out}})
}

// msg returns the message that applies the change to a model, or nil for a kind of
// change that this version of the program doesn't know.
func (c Change) msg() Msg {
	switch {
	case c.Register != nil:
		return RegisterMsg{*c.Register}
	case c.Unregister != "":
		return UnregisterMsg{c.Unregister}
	case c.Config != nil:
		return ConfigMsg{*c.Config}
	case c.Patch != nil:
		return PatchMsg{*c.Patch}
	case c.Evacuate != nil:
		return *c.Evacuate
	case c.Evacuated != nil:
		return *c.Evacuated
	case c.Rollout != nil:
		return *c.Rollout
	default:
		return nil
	}
}

// PatchMsg carries the difference between a configuration and the one before it.
type PatchMsg struct{ Patch router.Patch }

// NewsMsg carries a gossip message from a peer.
type NewsMsg struct{ News News }

// AskMsg carries a peer's request for a snapshot of a topic. Peers send it when
// they can't read the store.
type AskMsg struct {
	// Peer is the address of the requesting entry.
	Peer netip.Addr
	Ask  Ask
}

// Ask requests a snapshot of a topic.
type Ask struct {
	Topic Topic `cbor:"0,keyasint"`
	// Era is the era of the requesting entry's view, and Next its end.
	Era  Era    `cbor:"2,keyasint,omitempty"`
	Next Offset `cbor:"1,keyasint"`
}

// SpreadCmd sends a gossip message to all peers.
type SpreadCmd struct{ News News }

// AskCmd requests a snapshot from one peer, because the store could not be read.
type AskCmd struct{ Ask Ask }

// TellCmd sends a snapshot to the peer that requested it.
type TellCmd struct {
	Peer netip.Addr
	News News
}

func (PatchMsg) msg() {}
func (NewsMsg) msg()  {}
func (AskMsg) msg()   {}

func (SpreadCmd) cmd() {}
func (AskCmd) cmd()    {}
func (TellCmd) cmd()   {}

// slideWindow moves the gossip window of a topic on after its view has advanced,
// and drops changes that are no longer in the window. The window includes changes
// received from peers as well as changes read from the store: a gossip message
// without the former would claim to cover offsets whose changes it lacks.
func (m *Model) slideWindow(t Topic) {
	v := &m.Views[t]
	v.windowOffsets = append(v.windowOffsets, v.Next)
	window := targetWindow
	if t == Orders {
		window = orderWindow
	}
	if len(v.windowOffsets) > window+1 {
		v.windowOffsets = v.windowOffsets[1:]
	}
	m.recentChanges[t] = slices.DeleteFunc(m.recentChanges[t], func(c Change) bool { return c.Offset < v.windowOffsets[0] })
}

// broadcast returns the command that sends the changes in the gossip window of a
// topic to all peers.
func (m *Model) broadcast(t Topic, now time.Time) []Cmd {
	v := &m.Views[t]
	n := News{Topic: t, Era: v.Era, From: v.windowOffsets[0], Next: v.Next, Age: v.age(now)}
	items := 0
	for _, c := range m.recentChanges[t] {
		if c.Patch != nil {
			items += c.Patch.Size()
		}
	}
	if len(m.recentChanges[t]) > maxGossipChanges || items > maxGossipItems {
		n.From = n.Next
	} else {
		n.Changes = slices.Clone(m.recentChanges[t])
	}
	return []Cmd{SpreadCmd{n}}
}

// applyGossip applies a gossip message from a peer. It starts a read of the store if
// there is a gap between the view and the message.
func (m *Model) applyGossip(n News, now time.Time) []Cmd {
	if n.Topic < 0 || n.Topic >= topics || n.Age < 0 {
		return nil
	}
	v := &m.Views[n.Topic]
	switch {
	case n.Retrying:
		if v.failing() && !v.Reading {
			limit := min(max(failureJitter, time.Duration(m.Peers)*jitterPerPeer), maxFailureJitter)
			v.PausedUntil = now.Add(failureBackoff + m.jitter(limit))
		}
		return nil
	case n.Era < v.Era:
		return nil // from before the store was restored
	case n.Era > v.Era && !n.Snapshot:
		v.LatestEra = max(v.LatestEra, n.Era)
		return m.readForPeer(n.Topic, now)
	case n.Snapshot && (!v.Known || n.Era > v.Era || n.Next > v.Next):
		return m.applySnapshot(n, now)
	case v.needsFullRead() || n.Next < v.Next || n.Snapshot:
		return nil
	}
	if n.From > v.Next || !m.patchesChain(n.Changes, v.Next) {
		return m.readForPeer(n.Topic, now)
	}
	var cmds []Cmd
	prevNext := v.Next
	if at := now.Add(-n.Age); at.After(v.At) || n.Next > v.Next {
		m.advanceView(n.Topic, n.Next, at, false, now)
	}
	for _, c := range n.Changes {
		if msg := c.msg(); msg != nil && c.Offset >= prevNext {
			cmds = append(cmds, m.update(msg, now)...)
			m.recentChanges[n.Topic] = append(m.recentChanges[n.Topic], c)
		}
	}
	if n.Next > prevNext {
		m.slideWindow(n.Topic)
	}
	return cmds
}

// readForPeer starts a read after a message of a peer that shows that some entry can read
// the store. The entry doesn't wait for its own turn to retry, but the store may still
// refuse it, so failureBackoff applies.
func (m *Model) readForPeer(t Topic, now time.Time) []Cmd {
	v := &m.Views[t]
	if v.Reading || now.Before(v.FailedAt.Add(failureBackoff)) {
		return nil
	}
	v.Mine = false
	return []Cmd{m.startRead(t, now)}
}

// patchesChain reports whether the patches among the changes from an offset on
// form a chain that begins at the configuration in force, in which the base of each
// patch is the version before it. Patches to versions that are already in force
// are skipped.
func (m *Model) patchesChain(changes []Change, from Offset) bool {
	version := m.Config.Version
	for _, c := range changes {
		if c.Patch == nil || c.Offset < from || c.Patch.Version <= version {
			continue
		}
		if c.Patch.Base != version {
			return false
		}
		version = c.Patch.Version
	}
	return true
}

// applySnapshot replaces the state of a topic by a peer's snapshot.
func (m *Model) applySnapshot(n News, now time.Time) []Cmd {
	v := &m.Views[n.Topic]
	var cmds []Cmd
	if n.Era > v.Era {
		cmds = m.enterEra(n.Topic, n.Era, now)
	}
	m.advanceView(n.Topic, n.Next, now.Add(-n.Age), false, now)
	v.windowOffsets, m.recentChanges[n.Topic] = nil, nil
	m.slideWindow(n.Topic)
	var list ListMsg
	var rollouts RolloutsMsg
	out := map[loader.DataCentreName]bool{}
	for _, c := range n.Changes {
		switch msg := c.msg().(type) {
		case RegisterMsg:
			list.Registrations = append(list.Registrations, msg.Registration)
		case EvacuateMsg:
			out[msg.DataCentre] = msg.Out
		case RolloutMsg:
			rollouts.Orders = append(rollouts.Orders, msg.Order)
		case ConfigMsg:
			cmds = append(cmds, m.applyConfig(msg.Config)...)
		}
	}
	if n.Topic == Targets {
		return append(cmds, m.reconcileTargets(list.Registrations, now)...)
	}
	cmds = append(cmds, m.setAllRollouts(rollouts, now)...)
	return append(cmds, m.setAllEvacuated(out, now)...)
}

// replyWithSnapshot sends a snapshot of a topic to the peer that requested it,
// unless this entry's own view is missing or behind the peer's.
func (m *Model) replyWithSnapshot(msg AskMsg, now time.Time) []Cmd {
	t := msg.Ask.Topic
	if t < 0 || t >= topics || m.Views[t].needsFullRead() {
		return nil
	}
	v := &m.Views[t]
	if v.Era < msg.Ask.Era || v.Era == msg.Ask.Era && v.Next < msg.Ask.Next {
		return nil
	}
	n := News{Topic: t, Era: v.Era, Next: v.Next, Age: v.age(now), Snapshot: true}
	if t == Orders {
		n.Changes = append(n.Changes, Change{Config: &m.Config})
		for dc := range m.Out {
			n.Changes = append(n.Changes, Change{Evacuate: &EvacuateMsg{DataCentre: dc, Out: true}})
		}
		for _, o := range m.Rollouts {
			n.Changes = append(n.Changes, Change{Rollout: &RolloutMsg{Order: o}})
		}
	} else {
		for _, target := range m.Targets {
			if !target.Gone && target.LostAt.IsZero() {
				n.Changes = append(n.Changes, Change{Register: &target.Registration})
			}
		}
	}
	return []Cmd{TellCmd{Peer: msg.Peer, News: n}}
}
