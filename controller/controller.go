// Package controller holds the control state of an entry: a blackboard that
// one goroutine owns.
//
// Every decision is a function of the blackboard, a message and the time. It
// returns the next blackboard and commands, which are values:
//
//	m, cmds := m.Update(controller.PageMsg{Page: page}, now)
//
// Loop runs the goroutine and hands the commands to whoever carries them out.
package controller

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/appender"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
	"savoryroad.dev/registrar"
)

//go:generate go tool stringer -type=Phase -output=phase_string.go

// Phase is the stage of an entry's life.
type Phase int

// The phases.
const (
	// Starting lasts until a configuration is in force.
	Starting Phase = iota
	// Serving is the normal phase.
	Serving
	// Stopping takes no new connections and finishes the calls in flight.
	Stopping
)

// MarshalText writes the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the name of a phase.
func (p *Phase) UnmarshalText(text []byte) error { return loader.ParseEnum(p, text, Stopping) }

// Model is the blackboard. Update treats it as a value; a copy of it is never
// changed by a later Update.
type Model struct {
	// Name, DataCentre and Site are the entry's own, from its settings.
	Name       loader.EntryName
	DataCentre loader.DataCentreName
	Site       loader.SiteName
	// Phase only moves forward.
	Phase Phase
	// Reader is the configuration stream as far as it was read.
	Reader publisher.Reader
	// InForce is the revision that traffic uses; it only grows, and it is at
	// most the reader's.
	InForce publisher.Revision
	// InForceSince is when it came into force, by this entry's clock.
	InForceSince time.Time
	// Waiting is set while the newest revision waits to be rendered, and
	// Rendered is when one last was.
	Waiting  bool
	Rendered time.Time
	// Findings are those of the newest revision, when it can't be used here;
	// the older revision then stays in force.
	Findings loader.Findings
	// Verdicts counts what became of the records read.
	Verdicts VerdictCounts
	// Log is the state of the link to the log service.
	Log LogLink
	// Snapshot is the duty to keep the configuration in the log.
	Snapshot SnapshotDuty
	// Recent holds the latest records read, without gaps, for peers.
	Recent []appender.Record
	// Fleet is this entry's part in owning the fleet's shares.
	Fleet FleetDuty
	// Retention is the log's, as the configuration in force states it.
	Retention time.Duration
}

// VerdictCounts counts the records read, by what became of them.
type VerdictCounts struct {
	Accepted, Rejected, Repeated, Snapshots, Moves, Junk int
}

// LogLink is what the entry knows of its link to the log service.
type LogLink struct {
	// Up tells whether the latest read succeeded.
	Up bool
	// Since is when Up last changed.
	Since time.Time
	// LastRead is when a read last succeeded.
	LastRead time.Time
	// LastError is the latest failure, or empty.
	LastError string
}

// SnapshotDuty is the share in appending snapshots that falls to this entry.
type SnapshotDuty struct {
	// Jitter, from 0 to 1, spreads the entries' appends so that most of them
	// find the duty done.
	Jitter float64
	// Appending is set while an append of this entry is under way.
	Appending bool
	// Appends counts this entry's snapshots.
	Appends int
	// LastTry is when this entry last began one.
	LastTry time.Time
}

// Msg is something that happened.
type Msg interface{ msg() }

// PageMsg brings records of the configuration stream.
type PageMsg struct{ Page appender.Page }

// PeerPageMsg brings records that a peer has read.
type PeerPageMsg struct{ Page appender.Page }

// PeerStateMsg brings the whole state of a peer.
type PeerStateMsg struct{ Reader publisher.Reader }

// PeerSeenMsg says that a peer was heard of.
type PeerSeenMsg struct {
	Peer registrar.Owner
	// Stopping is set when the peer takes no shares any more.
	Stopping bool
}

// VMsMsg brings the platform's list of the VMs that there are.
type VMsMsg struct{ Names []loader.EntryName }

// FleetDoneMsg says that a ClaimCmd or a HandoverCmd is over.
type FleetDoneMsg struct{ Err error }

// ReadFailedMsg says that the log could not be read.
type ReadFailedMsg struct{ Err error }

// TickMsg comes once a second.
type TickMsg struct{}

// SnapshotDoneMsg brings the outcome of an AppendSnapshotCmd.
type SnapshotDoneMsg struct{ Outcome appender.Outcome }

// StopMsg says that the process was asked to end.
type StopMsg struct{}

func (PageMsg) msg()         {}
func (PeerPageMsg) msg()     {}
func (PeerStateMsg) msg()    {}
func (PeerSeenMsg) msg()     {}
func (VMsMsg) msg()          {}
func (FleetDoneMsg) msg()    {}
func (ReadFailedMsg) msg()   {}
func (TickMsg) msg()         {}
func (SnapshotDoneMsg) msg() {}
func (StopMsg) msg()         {}

// Cmd is an effect for others to carry out.
type Cmd interface{ cmd() }

// InstallCmd puts a configuration in force.
type InstallCmd struct {
	Revision publisher.Revision
	Config   loader.Config
}

// AppendSnapshotCmd appends a record to the configuration stream.
type AppendSnapshotCmd struct{ Data []byte }

// OwnCmd tells traffic who owns which share.
type OwnCmd struct{ Table registrar.Table }

// GossipCmd tells some peers at once how far this entry has read.
type GossipCmd struct{}

// FleetCmd appends a record about shares; FleetDoneMsg ends it.
type FleetCmd struct{ Record registrar.Record }

// HandoverCmd gives shares to a peer: first the memory of their keys, then the
// record; FleetDoneMsg ends it.
type HandoverCmd struct{ Transfer registrar.Transfer }

// LogCmd writes one line about a change of state.
type LogCmd struct {
	Level zerolog.Level
	Text  string
	// Fields are key and value in turn.
	Fields []any
}

func (InstallCmd) cmd()        {}
func (AppendSnapshotCmd) cmd() {}
func (OwnCmd) cmd()            {}
func (GossipCmd) cmd()         {}
func (FleetCmd) cmd()          {}
func (HandoverCmd) cmd()       {}
func (LogCmd) cmd()            {}

// New returns the blackboard of an entry that knows nothing yet. The jitter,
// from 0 to 1, differs between entries; self is what its shares are owned by.
func New(s loader.Settings, jitter float64, self registrar.Owner) Model {
	return Model{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Site:       s.Site,
		Snapshot:   SnapshotDuty{Jitter: jitter},
		Fleet:      FleetDuty{Self: self, ListKnown: s.VMs != ""},
	}
}

// Update returns the blackboard after a message, and the effects to carry out
// in order.
func (m Model) Update(msg Msg, now time.Time) (Model, []Cmd) {
	switch msg := msg.(type) {
	case PageMsg:
		return m.readPage(msg.Page, now)
	case PeerPageMsg:
		return m.fold(msg.Page, now)
	case PeerStateMsg:
		return m.adopt(msg.Reader, now)
	case PeerSeenMsg:
		return m.seen(msg, now)
	case VMsMsg:
		return m.listVMs(msg.Names), nil
	case FleetDoneMsg:
		return m.fleetDone(msg.Err, now)
	case ReadFailedMsg:
		return m.readFailed(msg.Err, now)
	case TickMsg:
		return m.tick(now)
	case SnapshotDoneMsg:
		return m.snapshotDone(msg.Outcome)
	case StopMsg:
		m.Phase = Stopping
		m, cmds := m.manageShares(now)
		return m, append(cmds, GossipCmd{}, LogCmd{Level: zerolog.InfoLevel, Text: "stopping"})
	}
	return m, nil
}

// tick does what falls due with time.
func (m Model) tick(now time.Time) (Model, []Cmd) {
	m, cmds := m.installWaiting(now)
	m, more := m.keepSnapshot(now)
	m, last := m.manageShares(now)
	return m, slices.Concat(cmds, more, last)
}
