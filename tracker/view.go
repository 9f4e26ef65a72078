package tracker

import "time"

// Every call to the store is one that the store answers to nobody else, and a
// large fleet asks for the same records. So entries take turns: whoever reads
// tells the others, and an entry reads by itself only when its view has become
// too old. The entry that read last goes first the next time. When its news
// stops, one of the others reads instead, after a time drawn by chance. While
// the store is away, entries that have found so for themselves take turns at
// trying it: whoever tries says so, and the others begin their pause anew.
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
	// peerSpread widens that range with each peer for an entry that hears one
	// of them try, up to maxSpread: so one or two entries try before the word
	// of the first has reached the rest, 10 ms later.
	peerSpread = 17 * time.Millisecond
	maxSpread  = 2000 * time.Millisecond
	// targetNews and orderNews are how many reads the news of a topic covers:
	// with 2, a lost datagram does no harm if the next one arrives. Orders may
	// be long; an entry that missed one reads the store.
	targetNews = 2
	orderNews  = 1
	// maxNewsChanges is how many changes are told at once. With more, the
	// peers are left to read the store.
	maxNewsChanges = 500
	// maxNewsItems is the size up to which patches of the configuration are
	// told, in routes or services of about 45 bytes when packed: a relay's
	// copies of them take 0.4 s on a link of 10 Mbit/s.
	maxNewsItems = 1000
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
	// FailedAt is when a read of this entry failed; zero once the view has been
	// confirmed again, by whomever.
	FailedAt time.Time
	// recent holds the offsets of the latest reads, the oldest first.
	recent []Offset
}

// ReadMsg brings what a read found: Msgs after a whole read, Records after any
// other.
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

func (ReadMsg) msg()       {}
func (ReadFailedMsg) msg() {}

// ReadCmd asks for a read of the store.
type ReadCmd struct {
	Topic Topic
	// Full asks for the whole topic; From is then not used.
	Full bool
	From Offset
}

func (ReadCmd) cmd() {}

// age is how long a view has not been confirmed.
func (v *View) age(now time.Time) time.Duration { return now.Sub(v.At) }

// failing tells whether this entry's latest read failed, and nothing has been
// heard since.
func (v *View) failing() bool { return !v.FailedAt.IsZero() }

// turns begins the reads whose turn it is.
func (m *Model) turns(now time.Time) []Cmd {
	var cmds []Cmd
	for t := range topics {
		v := &m.Views[t]
		if !v.Reading && now.After(v.PausedUntil) && (!v.Known || v.age(now) >= v.Turn) {
			cmds = append(cmds, m.read(t))
			if v.failing() {
				cmds = append(cmds, SpreadCmd{News{Topic: t, Trying: true}})
			}
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
	v.PausedUntil, v.FailedAt = time.Time{}, time.Time{}
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
		cmds = append(cmds, m.update(one, now)...)
	}
	for _, r := range msg.Records {
		if r.Msg == nil || r.Offset < from {
			continue
		}
		before, former := m.placementChanges, m.Config
		cmds = append(cmds, m.update(r.Msg, now)...)
		if m.placementChanges > before {
			m.recentChanges[msg.Topic] = append(m.recentChanges[msg.Topic], newChange(r, former))
		}
	}
	if msg.Full {
		v.recent, m.recentChanges[msg.Topic] = nil, nil
	}
	m.extend(msg.Topic)
	if mine {
		cmds = append(cmds, m.spread(msg.Topic, now)...)
	}
	return cmds
}

// failRead notes that a read failed.
func (m *Model) failRead(msg ReadFailedMsg, now time.Time) []Cmd {
	v := &m.Views[msg.Topic]
	v.Reading = false
	if msg.Trimmed {
		v.Known = false
		return []Cmd{m.read(msg.Topic)}
	}
	v.PausedUntil, v.FailedAt = now.Add(failurePause+m.draw(failureSpread)), now
	return []Cmd{AskCmd{Ask{Topic: msg.Topic, Next: v.Next}}}
}
