package tracker

import (
	"time"

	"github.com/rs/zerolog"
)

// Every read takes capacity of the store that other clients then lack, and the
// entries of a large fleet all need the same records. The entries therefore take
// turns: the entry that reads sends the result to its peers as gossip, and an
// entry reads the store itself only when its view has become too old. The entry
// that made the latest read makes the next one. If its gossip stops, another
// entry takes over after a random delay. During an outage of the store, entries
// whose own reads have failed take turns at retrying in the same way: an entry
// that retries announces it, and the others restart their backoff.
const (
	// readInterval is the age of a view at which the entry that read it reads the
	// store again. A change must be in force, and a target that is leaving must get
	// no more requests, within 2 s.
	readInterval = 700 * time.Millisecond
	// takeoverDelay is the additional age of a view at which another entry reads
	// the store. Each entry adds a random time of up to takeoverJitter.
	takeoverDelay  = 250 * time.Millisecond
	takeoverJitter = 600 * time.Millisecond
	// failureBackoff is the minimum time from a failed read to the next read. Each
	// entry adds a random time of up to failureJitter. A successful read by any
	// entry ends the backoff of all entries.
	failureBackoff = 300 * time.Millisecond
	failureJitter  = 1000 * time.Millisecond
	// jitterPerPeer scales the jitter with the number of peers, up to
	// maxFailureJitter, when an entry restarts its backoff because a peer has
	// announced a retry. It is large enough that only one or two entries retry in
	// the 10 ms that the first announcement takes to reach all peers.
	jitterPerPeer    = 17 * time.Millisecond
	maxFailureJitter = 2000 * time.Millisecond
	// targetWindow and orderWindow are the numbers of reads that a gossip message
	// about a topic covers. With 2, the loss of a datagram does no harm if the next
	// one arrives. Orders may be long, so an entry that misses one reads the store.
	targetWindow = 2
	orderWindow  = 1
	// maxGossipChanges is the maximum number of changes in a gossip message. If
	// there are more, the message carries none, and the peers read the store.
	maxGossipChanges = 500
	// maxGossipItems is the maximum size of the configuration patches in a gossip
	// message, in routes and services of about 45 bytes each when compressed. The
	// copies that a relaying entry sends of them take 0.4 s on a link of 10 Mbit/s.
	maxGossipItems = 1000
	// outageAge is the age of a view above which the store must have been
	// unreachable from every entry.
	outageAge = 2 * time.Second
)

// Topic identifies a topic of the store.
type Topic int

// The topics.
const (
	// Orders holds the operators' records: configurations, and data centres to take
	// out of service.
	Orders Topic = iota
	// Targets holds the registrations of targets.
	Targets
	topics
)

// Offset is the position of a record in its topic.
type Offset uint64

// Era counts how often the store has come back from an older copy of its data. Offsets
// of different eras belong to different histories and can't be compared.
type Era uint64

// View is the replication state of a topic at this entry.
type View struct {
	// Known is set once the whole topic has been received. It is cleared when the
	// store has trimmed records that this entry has not received.
	Known bool
	// Era is the era of the store to which Next belongs, and LatestEra the latest one
	// that this entry has heard of. Until a full read or a snapshot brings the view to
	// that era, gossip doesn't advance it.
	Era, LatestEra Era
	// Next is the offset of the first record that has not been received.
	Next Offset
	// At is the time up to which the view is complete.
	At time.Time
	// Mine is set when the view comes from a read in this entry's own turn. The
	// entry then makes the next read too.
	Mine bool
	// Reading is set while a read by this entry is in progress.
	Reading bool
	// Turn is the age of the view at which this entry reads the store.
	Turn time.Duration
	// PausedUntil is when the backoff after a failed read ends.
	PausedUntil time.Time
	// FailedAt is when this entry's latest read failed; zero once a later read, by
	// any entry, has succeeded.
	FailedAt time.Time
	// windowOffsets holds the values of Next after the latest advances of the view,
	// oldest first. They delimit the gossip window.
	windowOffsets []Offset
}

// ReadMsg carries the result of a read: Msgs for a full read, and Records for an
// incremental one.
type ReadMsg struct {
	Topic Topic
	// Full is set when the whole topic was read.
	Full bool
	// Era is the era of the store at the time of the read.
	Era Era
	// Next is the offset of the first record after those that were read, and End
	// the offset after the last record of the topic. End is larger if the read
	// returned only a part of the records.
	Next, End Offset
	// Asked is when the read began.
	Asked time.Time
	// Records holds the records in order of their offsets.
	Records []ReadRecord
	// Msgs holds the messages that make up the state of the topic.
	Msgs []Msg
}

// ReadRecord is one record of an incremental read.
type ReadRecord struct {
	Offset Offset
	// Msg is nil for a record that doesn't affect the model.
	Msg Msg
}

// ReadFailedMsg reports that a read failed.
type ReadFailedMsg struct {
	Topic Topic
	// Trimmed is set when the store no longer has the records, so that a full read
	// is needed.
	Trimmed bool
}

func (ReadMsg) msg()       {}
func (ReadFailedMsg) msg() {}

// ReadCmd starts a read of the store.
type ReadCmd struct {
	Topic Topic
	// Full requests the whole topic; From is then ignored.
	Full bool
	// From is the offset of the first record to read.
	From Offset
}

func (ReadCmd) cmd() {}

// age returns the time since the view was last known to be complete.
func (v *View) age(now time.Time) time.Duration { return now.Sub(v.At) }

// outdated reports whether the view belongs to a former era of the store.
func (v *View) outdated() bool { return v.Era < v.LatestEra }

// hasContent reports whether the topic has been received in any era.
func (v *View) hasContent() bool { return !v.At.IsZero() }

// failing reports whether this entry's latest read failed, and no entry is known
// to have read successfully since.
func (v *View) failing() bool { return !v.FailedAt.IsZero() }

// startDueReads starts the reads that are due. It announces those that are retries
// to the peers.
func (m *Model) startDueReads(now time.Time) []Cmd {
	var cmds []Cmd
	for t := range topics {
		v := &m.Views[t]
		if !v.Reading && now.After(v.PausedUntil) && (v.needsFullRead() || v.age(now) >= v.Turn || m.mustRecheck(t, now)) {
			cmds = append(cmds, m.startRead(t, now))
			if v.failing() {
				cmds = append(cmds, SpreadCmd{News{Topic: t, Era: v.Era, Retrying: true}})
			}
		}
	}
	return cmds
}

// needsFullRead reports whether the view can't be continued from where it ends.
func (v *View) needsFullRead() bool { return !v.Known || v.outdated() }

// mustRecheck reports whether a topic must be read completely, because data centres are
// out of service of which the store, when it was restored, had no record.
func (m *Model) mustRecheck(t Topic, now time.Time) bool {
	return t == Orders && !m.RecheckOutAt.IsZero() && !now.Before(m.RecheckOutAt)
}

// startRead starts a read of a topic from where its view ends, or a full read if
// that isn't possible.
func (m *Model) startRead(t Topic, now time.Time) Cmd {
	v := &m.Views[t]
	v.Reading = true
	return ReadCmd{Topic: t, Full: v.needsFullRead() || m.mustRecheck(t, now), From: v.Next}
}

// enterEra moves the view of a topic on to a later era of the store. What the store has
// lost is written again soon, so that its content is not taken for complete until
// rewriteTime has passed: targets and data centres out of service are kept for as long.
func (m *Model) enterEra(t Topic, era Era, now time.Time) []Cmd {
	v := &m.Views[t]
	former, hadContent := v.Era, v.hasContent()
	v.Era, v.LatestEra = era, max(era, v.LatestEra)
	v.windowOffsets, m.recentChanges[t] = nil, nil
	if !hadContent {
		return nil
	}
	if t == Targets {
		m.ReturnedAt = now
	} else {
		m.RestoredAt = now
	}
	return []Cmd{RestoredCmd{Topic: t, Era: era}, LogCmd{Level: zerolog.WarnLevel, Text: "store was restored from a copy", Fields: map[string]any{
		"Topic": int(t), "Era": era, "Former": former, "Next": v.Next,
	}}}
}

// advanceView moves the view of a topic on to next, up to which it is complete as
// of at. The mine flag tells whether the view comes from this entry's own turn.
func (m *Model) advanceView(t Topic, next Offset, at time.Time, mine bool, now time.Time) {
	v := &m.Views[t]
	if t == Targets && v.Known && v.age(now) > outageAge {
		m.ReturnedAt = now
	}
	v.Known, v.Next, v.Mine = true, next, mine
	if at.After(v.At) {
		v.At = at
	}
	v.PausedUntil, v.FailedAt = time.Time{}, time.Time{}
	v.Turn = readInterval
	if !mine {
		v.Turn += takeoverDelay + m.jitter(takeoverJitter)
	}
}

// jitter returns a random time between zero and limit.
func (m *Model) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random() * float64(limit))
}

// applyRead applies the result of a read. It reads on if the read returned only a part
// of the records, and then broadcasts the changes unless the read filled a gap in the
// peers' gossip.
func (m *Model) applyRead(msg ReadMsg, now time.Time) []Cmd {
	v := &m.Views[msg.Topic]
	v.Reading = false
	// In a new era the entry whose turn it was tells the others.
	restored := msg.Era > v.Era && v.hasContent()
	switch {
	case msg.Era < v.Era:
		// The store was restored since, and a peer has told what it holds now.
		v.PausedUntil = now.Add(failureBackoff + m.jitter(failureJitter))
		return nil
	case restored && !msg.Full:
		v.LatestEra = max(v.LatestEra, msg.Era)
		return []Cmd{m.startRead(msg.Topic, now)}
	case msg.Era == v.Era && v.Known && msg.Next < v.Next:
		// Gossip that arrived during the read has advanced the view further.
		return nil
	}
	// Only the store decides which era it is in. If a peer told of a later one, the next
	// message of that peer makes this entry read again.
	v.LatestEra = max(v.Era, msg.Era)
	// A full read skips ahead if it replaces the reading of many records.
	skips := msg.Full && v.Known && msg.Topic == Orders && !restored
	// After the first read, and after a read that filled a gap in the peers'
	// gossip, the next turn remains with another entry.
	mine := (!msg.Full || skips || restored) && (v.Mine || v.age(now) >= v.Turn)
	var cmds []Cmd
	if msg.Era > v.Era {
		cmds = m.enterEra(msg.Topic, msg.Era, now)
		v.Next = 0
	}
	from := v.Next
	complete, at := msg.Next >= msg.End, msg.Asked
	if !complete {
		at = v.At
	}
	m.advanceView(msg.Topic, msg.Next, at, mine, now)
	cmds = append(cmds, m.applyContent(msg, from, skips, now)...)
	if msg.Topic == Orders && msg.Full && m.mustRecheck(Orders, msg.Asked) {
		m.RecheckOutAt = time.Time{}
	}
	if msg.Full && !skips {
		v.windowOffsets, m.recentChanges[msg.Topic] = nil, nil
	}
	if !complete {
		return append(cmds, m.readOn(msg.Topic, msg.Next > from))
	}
	m.slideWindow(msg.Topic)
	if mine {
		cmds = append(cmds, m.broadcast(msg.Topic, now)...)
	}
	return cmds
}

// applyContent applies what a read returned, the state of the topic or its records from
// an offset on, and adds the changes to those for gossip. If a full read skips ahead, its
// changes are those to the configuration and to the data centres out of service.
func (m *Model) applyContent(msg ReadMsg, from Offset, skips bool, now time.Time) []Cmd {
	var cmds []Cmd
	prevConfig := m.Config
	for _, inner := range msg.Msgs {
		cmds = append(cmds, m.update(inner, now)...)
	}
	if skips && msg.Next > from {
		m.recentChanges[msg.Topic] = append(m.recentChanges[msg.Topic], m.orderChanges(prevConfig, msg.Next-1)...)
	}
	for _, r := range msg.Records {
		if r.Msg == nil || r.Offset < from {
			continue
		}
		// A record that changes nothing here may change something at a peer that has
		// started from an older copy of the store.
		prev := m.Config
		cmds = append(cmds, m.update(r.Msg, now)...)
		m.recentChanges[msg.Topic] = append(m.recentChanges[msg.Topic], newChange(r, prev))
	}
	return cmds
}

// readOn continues a read that returned only a part of the records. Of the operators'
// records only the newest of each key count, and each may be long: it skips to them. So
// does a read that made no progress.
func (m *Model) readOn(t Topic, progressed bool) Cmd {
	m.Views[t].Reading = true
	return ReadCmd{Topic: t, Full: t == Orders || !progressed, From: m.Views[t].Next}
}

// handleReadFailure starts a full read if the store has trimmed the records.
// Otherwise it starts the backoff and asks a peer for the topic.
func (m *Model) handleReadFailure(msg ReadFailedMsg, now time.Time) []Cmd {
	v := &m.Views[msg.Topic]
	v.Reading = false
	if msg.Trimmed {
		v.Known = false
		return []Cmd{m.startRead(msg.Topic, now)}
	}
	v.PausedUntil, v.FailedAt = now.Add(failureBackoff+m.jitter(failureJitter)), now
	return []Cmd{AskCmd{Ask{Topic: msg.Topic, Era: v.Era, Next: v.Next}}}
}
