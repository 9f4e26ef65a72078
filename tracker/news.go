package tracker

import (
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
)

// News is what an entry has read of a topic, for its peers.
type News struct {
	Topic Topic `cbor:"0,keyasint"`
	// From and Next bound the records that the news covers.
	From Offset `cbor:"1,keyasint"`
	Next Offset `cbor:"2,keyasint"`
	// Age is how long ago the store was asked.
	Age time.Duration `cbor:"3,keyasint"`
	// Whole is set when the changes are all that holds at Next, whatever was
	// known before.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// Trying is set when the sender tries the store again after a failure.
	// Nothing else is then told.
	Trying bool `cbor:"6,keyasint,omitempty"`
	// Changes are what the records change.
	Changes []Change `cbor:"4,keyasint,omitempty"`
}

// Change is what one record changes: it holds one of its fields besides the
// offset.
type Change struct {
	Offset     Offset               `cbor:"0,keyasint"`
	Register   *placer.Registration `cbor:"1,keyasint,omitempty"`
	Unregister loader.TargetName    `cbor:"2,keyasint,omitempty"`
	// Config is a whole configuration; Patch is what one changes of the
	// configuration before it.
	Config   *router.Config `cbor:"3,keyasint,omitempty"`
	Patch    *router.Patch  `cbor:"5,keyasint,omitempty"`
	Evacuate *EvacuateMsg   `cbor:"4,keyasint,omitempty"`
}

// newChange returns the change that a record makes; former is the
// configuration before it.
func newChange(r ReadRecord, former router.Config) Change {
	c := Change{Offset: r.Offset}
	switch msg := r.Msg.(type) {
	case RegisterMsg:
		c.Register = &msg.Registration
	case UnregisterMsg:
		c.Unregister = msg.Name
	case ConfigMsg:
		patch := msg.Config.Patch(former)
		c.Patch = &patch
	case EvacuateMsg:
		c.Evacuate = &msg
	}
	return c
}

// msg returns the message that makes the change, or nil for one that this
// version of the program doesn't know.
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
	default:
		return nil
	}
}

// PatchMsg brings what a configuration changes of the one before it.
type PatchMsg struct{ Patch router.Patch }

// NewsMsg brings news of a peer.
type NewsMsg struct{ News News }

// AskMsg is the question of a peer that the store turns away for all that is
// known of a topic.
type AskMsg struct {
	Peer netip.Addr
	Ask  Ask
}

// Ask asks for a topic, by an entry that knows it up to an offset.
type Ask struct {
	Topic Topic  `cbor:"0,keyasint"`
	Next  Offset `cbor:"1,keyasint"`
}

// SpreadCmd asks to tell all peers.
type SpreadCmd struct{ News News }

// AskCmd asks one peer, in place of the store.
type AskCmd struct{ Ask Ask }

// TellCmd answers a peer.
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

// extend notes that a view has grown, with its changes. News covers what was
// read and what was heard alike: it would otherwise claim to be complete
// without the changes that this entry has heard of.
func (m *Model) extend(t Topic) {
	v := &m.Views[t]
	v.windowOffsets = append(v.windowOffsets, v.Next)
	reads := targetWindow
	if t == Orders {
		reads = orderWindow
	}
	if len(v.windowOffsets) > reads+1 {
		v.windowOffsets = v.windowOffsets[1:]
	}
	m.recentChanges[t] = slices.DeleteFunc(m.recentChanges[t], func(c Change) bool { return c.Offset < v.windowOffsets[0] })
}

// spread returns the news of a topic.
func (m *Model) spread(t Topic, now time.Time) []Cmd {
	v := &m.Views[t]
	n := News{Topic: t, From: v.windowOffsets[0], Next: v.Next, Age: v.age(now)}
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

// takeNews takes the news of a peer, or begins a read when it leaves a gap.
func (m *Model) takeNews(n News, now time.Time) []Cmd {
	if n.Topic < 0 || n.Topic >= topics || n.Age < 0 {
		return nil
	}
	v := &m.Views[n.Topic]
	switch {
	case n.Trying:
		if v.failing() && !v.Reading {
			spread := min(max(failureJitter, time.Duration(m.Peers)*jitterPerPeer), maxFailureJitter)
			v.PausedUntil = now.Add(failureBackoff + m.jitter(spread))
		}
		return nil
	case n.Whole && (!v.Known || n.Next > v.Next):
		return m.takeWhole(n, now)
	case !v.Known || n.Next < v.Next || n.Whole:
		return nil
	}
	if n.From > v.Next || !m.follows(n.Changes, v.Next) {
		// Somebody reaches the store, so this entry needn't wait for its turn at
		// trying it. It may still be turned away itself.
		if v.Reading || now.Before(v.FailedAt.Add(failureBackoff)) {
			return nil
		}
		v.Mine = false
		return []Cmd{m.startRead(n.Topic)}
	}
	var cmds []Cmd
	known := v.Next
	if at := now.Add(-n.Age); at.After(v.At) || n.Next > v.Next {
		m.advanceView(n.Topic, n.Next, at, false, now)
	}
	for _, c := range n.Changes {
		if msg := c.msg(); msg != nil && c.Offset >= known {
			cmds = append(cmds, m.update(msg, now)...)
			m.recentChanges[n.Topic] = append(m.recentChanges[n.Topic], c)
		}
	}
	if n.Next > known {
		m.extend(n.Topic)
	}
	return cmds
}

// follows tells whether the patches among the changes from an offset on lead on
// from the configuration in force.
func (m *Model) follows(changes []Change, from Offset) bool {
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

// takeWhole takes all that a peer knows of a topic.
func (m *Model) takeWhole(n News, now time.Time) []Cmd {
	v := &m.Views[n.Topic]
	m.advanceView(n.Topic, n.Next, now.Add(-n.Age), false, now)
	v.windowOffsets, m.recentChanges[n.Topic] = nil, nil
	m.extend(n.Topic)
	var list ListMsg
	var cmds []Cmd
	out := map[loader.DataCentreName]bool{}
	for _, c := range n.Changes {
		switch msg := c.msg().(type) {
		case RegisterMsg:
			list.Registrations = append(list.Registrations, msg.Registration)
		case EvacuateMsg:
			out[msg.DataCentre] = msg.Out
		case ConfigMsg:
			cmds = append(cmds, m.applyConfig(msg.Config)...)
		}
	}
	if n.Topic == Targets {
		return append(cmds, m.reconcileTargets(list.Registrations, now)...)
	}
	return append(cmds, m.setAllEvacuated(out)...)
}

// answer tells a peer all that is known of a topic, if that is news to it.
func (m *Model) answer(msg AskMsg, now time.Time) []Cmd {
	t := msg.Ask.Topic
	if t < 0 || t >= topics || !m.Views[t].Known || m.Views[t].Next < msg.Ask.Next {
		return nil
	}
	n := News{Topic: t, Next: m.Views[t].Next, Age: m.Views[t].age(now), Whole: true}
	if t == Orders {
		n.Changes = append(n.Changes, Change{Config: &m.Config})
		for dc := range m.Out {
			n.Changes = append(n.Changes, Change{Evacuate: &EvacuateMsg{DataCentre: dc, Out: true}})
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
