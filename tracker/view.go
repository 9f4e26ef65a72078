package tracker

import (
	"net/netip"
	"slices"
	"time"

	"savoryroad.dev/loader"
	"savoryroad.dev/placer"
	"savoryroad.dev/router"
)

// Every call to the store is one that the store answers to nobody else, and a
// large fleet asks for the same records. So entries take turns: whoever reads
// tells the others, and an entry reads by itself only when its view has become
// too old. The entry that read last goes first the next time. When its news
// stops, one of the others reads instead, after a time drawn by chance.
const (
	// readInterval is how old a view gets before the entry that made it reads
	// again. A change must be in force, and a leaving target be spared, within
	// 2 s.
	readInterval = 700 * time.Millisecond
	// takeOverAfter is how much older a view gets before another entry reads,
	// and takeOverSpread the range that each one's own time is drawn from.
	takeOverAfter  = 250 * time.Millisecond
	takeOverSpread = 600 * time.Millisecond
	// failurePause is the least time between two reads that failed, and
	// failureSpread the range above it. Any entry's success ends the pause
	// of all.
	failurePause  = 300 * time.Millisecond
	failureSpread = 1000 * time.Millisecond
	// targetNews and orderNews are how many reads the news of a topic covers:
	// with 2, a lost datagram does no harm if the next one arrives. Orders are
	// long; an entry that missed one reads the store.
	targetNews = 2
	orderNews  = 1
	// maxNewsChanges is how many changes are told at once. With more, the
	// peers are left to read the store.
	maxNewsChanges = 500
	// maxNewsRoutes is the size of a configuration up to which it is told, in
	// routes of about 250 bytes: small links carry it within a read's time.
	maxNewsRoutes = 80
	// awayAfter is the age of a view from which on the store must have been
	// away from every entry.
	awayAfter = 2 * time.Second
)

// Topic is a set of records of the store.
type Topic int

// The topics.
const (
	// Orders are what operators want.
	Orders Topic = iota
	// Targets are the registrations of targets.
	Targets
	topics
)

// Offset numbers the records of a topic.
type Offset uint64

// View is how far a topic is known.
type View struct {
	// Known is set once the topic was read whole.
	Known bool
	// Next is the offset of the first record that is not known.
	Next Offset
	// At is the moment up to which the view is complete.
	At time.Time
	// Mine is set when this entry made the view.
	Mine bool
	// Reading is set while this entry reads the topic.
	Reading bool
	// Turn is how old the view gets before this entry reads.
	Turn time.Duration
	// PausedUntil is when the next read may begin after one that failed.
	PausedUntil time.Time
	// recent holds the offsets of the latest reads, the oldest first.
	recent []Offset
}

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
	// Changes are what the records change.
	Changes []Change `cbor:"4,keyasint,omitempty"`
}

// Change is what one record changes: it holds one of its fields besides the
// offset.
type Change struct {
	Offset     Offset               `cbor:"0,keyasint"`
	Register   *placer.Registration `cbor:"1,keyasint,omitempty"`
	Unregister loader.TargetName    `cbor:"2,keyasint,omitempty"`
	Config     *router.Config       `cbor:"3,keyasint,omitempty"`
	Evacuate   *EvacuateMsg         `cbor:"4,keyasint,omitempty"`
}

// newChange returns the change that a message makes.
func newChange(r ReadRecord) Change {
	c := Change{Offset: r.Offset}
	switch msg := r.Msg.(type) {
	case RegisterMsg:
		c.Register = &msg.Registration
	case UnregisterMsg:
		c.Unregister = msg.Name
	case ConfigMsg:
		c.Config = &msg.Config
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
	case c.Evacuate != nil:
		return *c.Evacuate
	default:
		return nil
	}
}

// ReadMsg brings what a read found. Records is nil after a whole read of
// targets, which brings a ListMsg.
type ReadMsg struct {
	Topic Topic
	// Full is set when the topic was read whole.
	Full bool
	Next Offset
	// Asked is when the read began.
	Asked time.Time
	// Records holds the records in their order.
	Records []ReadRecord
	// Msgs holds what a whole read brings.
	Msgs []Msg
}

// ReadRecord is one record of a read.
type ReadRecord struct {
	Offset Offset
	// Msg is nil for a record that says nothing.
	Msg Msg
}

// ReadFailedMsg says that a read failed.
type ReadFailedMsg struct {
	Topic Topic
	// Trimmed is set when the records are gone and the topic must be read
	// whole.
	Trimmed bool
}

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

func (ReadMsg) msg()       {}
func (ReadFailedMsg) msg() {}
func (NewsMsg) msg()       {}
func (AskMsg) msg()        {}

// ReadCmd asks for a read of the store.
type ReadCmd struct {
	Topic Topic
	// Full asks for the whole topic; From is then not used.
	Full bool
	From Offset
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

func (ReadCmd) cmd()   {}
func (SpreadCmd) cmd() {}
func (AskCmd) cmd()    {}
func (TellCmd) cmd()   {}

// age is how long a view has not been confirmed.
func (v *View) age(now time.Time) time.Duration { return now.Sub(v.At) }

// turns begins the reads whose turn it is.
func (m *Model) turns(now time.Time) []Cmd {
	var cmds []Cmd
	for t := range topics {
		v := &m.Views[t]
		if !v.Reading && now.After(v.PausedUntil) && (!v.Known || v.age(now) >= v.Turn) {
			cmds = append(cmds, m.read(t))
		}
	}
	return cmds
}

// read begins a read.
func (m *Model) read(t Topic) Cmd {
	v := &m.Views[t]
	v.Reading = true
	return ReadCmd{Topic: t, Full: !v.Known, From: v.Next}
}

// advance moves a view on to an offset up to which it is complete.
func (m *Model) advance(t Topic, next Offset, at time.Time, mine bool, now time.Time) {
	v := &m.Views[t]
	if t == Targets && v.Known && v.age(now) > awayAfter {
		m.ReturnedAt = now
	}
	v.Known, v.Next, v.Mine = true, next, mine
	if at.After(v.At) {
		v.At = at
	}
	v.PausedUntil = time.Time{}
	v.Turn = readInterval
	if !mine {
		v.Turn += takeOverAfter + m.draw(takeOverSpread)
	}
}

// draw returns a time between zero and a limit.
func (m *Model) draw(limit time.Duration) time.Duration {
	return time.Duration(m.random() * float64(limit))
}

// takeRead takes what a read found. The peers are told, unless the read was
// made because of their news.
func (m *Model) takeRead(msg ReadMsg, now time.Time) []Cmd {
	v := &m.Views[msg.Topic]
	v.Reading = false
	if !msg.Full && msg.Next < v.Next {
		// News has overtaken the read.
		return nil
	}
	from := v.Next
	// A read that fills a gap in the peers' news, or the first one, leaves the
	// next turn to others.
	mine := !msg.Full && (v.Mine || v.age(now) >= v.Turn)
	m.advance(msg.Topic, msg.Next, msg.Asked, mine, now)
	var cmds []Cmd
	for _, one := range msg.Msgs {
		cmds = append(cmds, m.Update(one, now)...)
	}
	for _, r := range msg.Records {
		if r.Msg == nil || r.Offset < from {
			continue
		}
		before := len(cmds)
		cmds = append(cmds, m.Update(r.Msg, now)...)
		if len(cmds) > before {
			m.changes[msg.Topic] = append(m.changes[msg.Topic], newChange(r))
		}
	}
	if msg.Full {
		v.recent, m.changes[msg.Topic] = nil, nil
	}
	m.extend(msg.Topic)
	if mine {
		cmds = append(cmds, m.spread(msg.Topic, now)...)
	}
	return cmds
}

// extend notes that a view has grown, with its changes. News covers what was
// read and what was heard alike: it would otherwise claim to be complete
// without the changes that this entry has heard of.
func (m *Model) extend(t Topic) {
	v := &m.Views[t]
	v.recent = append(v.recent, v.Next)
	reads := targetNews
	if t == Orders {
		reads = orderNews
	}
	if len(v.recent) > reads+1 {
		v.recent = v.recent[1:]
	}
	m.changes[t] = slices.DeleteFunc(m.changes[t], func(c Change) bool { return c.Offset < v.recent[0] })
}

// spread returns the news of a topic.
func (m *Model) spread(t Topic, now time.Time) []Cmd {
	v := &m.Views[t]
	n := News{Topic: t, From: v.recent[0], Next: v.Next, Age: v.age(now)}
	// A configuration replaces the ones before it.
	latest := Offset(0)
	for _, c := range m.changes[t] {
		if c.Config != nil {
			latest = c.Offset
		}
	}
	kept := slices.DeleteFunc(m.changes[t], func(c Change) bool { return c.Config != nil && c.Offset < latest })
	m.changes[t] = kept
	tooLong := func(c Change) bool { return c.Config != nil && len(c.Config.Routes) > maxNewsRoutes }
	if len(kept) > maxNewsChanges || slices.ContainsFunc(kept, tooLong) {
		n.From = n.Next
	} else {
		n.Changes = slices.Clone(kept)
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
	case n.Whole && (!v.Known || n.Next > v.Next):
		return m.takeWhole(n, now)
	case !v.Known || n.Next < v.Next || n.Whole:
		return nil
	}
	if n.From > v.Next {
		if v.Reading || !now.After(v.PausedUntil) {
			return nil
		}
		v.Mine = false
		return []Cmd{m.read(n.Topic)}
	}
	var cmds []Cmd
	known := v.Next
	if at := now.Add(-n.Age); at.After(v.At) || n.Next > v.Next {
		m.advance(n.Topic, n.Next, at, false, now)
	}
	for _, c := range n.Changes {
		if msg := c.msg(); msg != nil && c.Offset >= known {
			cmds = append(cmds, m.Update(msg, now)...)
			m.changes[n.Topic] = append(m.changes[n.Topic], c)
		}
	}
	if n.Next > known {
		m.extend(n.Topic)
	}
	return cmds
}

// takeWhole takes all that a peer knows of a topic.
func (m *Model) takeWhole(n News, now time.Time) []Cmd {
	v := &m.Views[n.Topic]
	m.advance(n.Topic, n.Next, now.Add(-n.Age), false, now)
	v.recent, m.changes[n.Topic] = nil, nil
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
			cmds = append(cmds, m.configure(msg.Config)...)
		}
	}
	if n.Topic == Targets {
		return append(cmds, m.list(list.Registrations, now)...)
	}
	return append(cmds, m.evacuateAll(out)...)
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

// failRead notes that a read failed.
func (m *Model) failRead(msg ReadFailedMsg, now time.Time) []Cmd {
	v := &m.Views[msg.Topic]
	v.Reading = false
	if msg.Trimmed {
		v.Known = false
		return []Cmd{m.read(msg.Topic)}
	}
	v.PausedUntil = now.Add(failurePause + m.draw(failureSpread))
	return []Cmd{AskCmd{Ask{Topic: msg.Topic, Next: v.Next}}}
}
