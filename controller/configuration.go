package controller

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/appender"
	"savoryroad.dev/publisher"
)

// renderPause is the least time between two renderings, for each byte of the
// base. Rendering takes about a fortieth of it.
const renderPause = 6 * time.Microsecond

// keptRecords is the number of records kept for peers that are behind.
const keptRecords = 256

// readPage folds records of the log.
func (m Model) readPage(p appender.Page, now time.Time) (Model, []Cmd) {
	var cmds []Cmd
	if !m.Log.Up {
		m.Log.Since = now
		cmds = append(cmds, LogCmd{Level: zerolog.InfoLevel, Text: "log service is reachable"})
	}
	m.Log.Up = true
	m.Log.LastRead = now
	m.Log.LastError = ""
	wasSynced := m.Reader.Synced
	m, more := m.fold(p, now)
	if wasSynced && !m.Reader.Synced {
		cmds = append(cmds, LogCmd{Level: zerolog.WarnLevel, Text: "the log forgot changes that were not read; waiting for a snapshot"})
	}
	return m, append(cmds, more...)
}

// fold reads records, from the log or from a peer, and acts on what changed.
func (m Model) fold(p appender.Page, now time.Time) (Model, []Cmd) {
	before := m.Reader
	var verdicts []publisher.Verdict
	m.Reader, verdicts = m.Reader.Read(p)
	for _, v := range verdicts {
		m.Verdicts = m.Verdicts.add(v)
	}
	m.Recent = keepRecent(m.Recent, p.Records, before.Next)
	return m.advance(before, now)
}

// adopt takes over a peer's whole state, if it is ahead of this entry's.
func (m Model) adopt(r publisher.Reader, now time.Time) (Model, []Cmd) {
	ahead := r.Next > m.Reader.Next || r.Next == m.Reader.Next && !m.Reader.Synced
	if !r.Synced || !ahead || r.State.Revision < m.Reader.State.Revision {
		return m, nil
	}
	before := m.Reader
	m.Reader = r
	m.Recent = nil
	return m.advance(before, now)
}

// advance acts on the difference between the reader before and now.
func (m Model) advance(before publisher.Reader, now time.Time) (Model, []Cmd) {
	var cmds []Cmd
	if m.Reader.Next != before.Next {
		cmds = append(cmds, GossipCmd{})
	}
	if len(m.Reader.State.Fleet.Held) > 0 && !slices.Equal(m.Reader.State.Fleet.Held, before.State.Fleet.Held) {
		cmds = append(cmds, OwnCmd{Table: m.Reader.State.Fleet})
	}
	if m.Reader.State.Revision == before.State.Revision {
		return m, cmds
	}
	m.Waiting = true
	m, more := m.installWaiting(now)
	return m, append(cmds, more...)
}

// installWaiting puts the newest revision in force, unless the one before is
// so recent that rendering again would take too much of a processor. The next
// tick tries again, so that revisions in between are skipped.
func (m Model) installWaiting(now time.Time) (Model, []Cmd) {
	pause := time.Duration(len(m.Reader.State.Base)) * renderPause
	if !m.Waiting || now.Sub(m.Rendered) < pause {
		return m, nil
	}
	m.Waiting = false
	m.Rendered = now
	return m.install(now)
}

// keepRecent appends the records from an offset on to those kept for peers.
func keepRecent(kept, records []appender.Record, from appender.Offset) []appender.Record {
	out := slices.Clone(kept)
	for _, r := range records {
		if r.Offset >= from {
			out = append(out, r)
		}
	}
	if n := len(out); n > keptRecords {
		out = out[n-keptRecords:]
	}
	return out
}

// install renders the newest revision. One that has findings leaves the one
// in force as it is.
func (m Model) install(now time.Time) (Model, []Cmd) {
	rev := m.Reader.State.Revision
	cfg, findings := m.Reader.State.Render(m.Site)
	m.Findings = findings
	if len(findings) > 0 {
		return m, []Cmd{LogCmd{
			Level:  zerolog.ErrorLevel,
			Text:   "accepted configuration can't be used here",
			Fields: []any{"Revision", uint64(rev), "InForce", uint64(m.InForce), "Findings", findings.Error()},
		}}
	}
	m.InForce = rev
	m.InForceSince = now
	m.Retention = cfg.Retention
	if m.Phase == Starting {
		m.Phase = Serving
	}
	return m, []Cmd{
		InstallCmd{Revision: rev, Config: cfg},
		LogCmd{
			Level:  zerolog.InfoLevel,
			Text:   "configuration is in force",
			Fields: []any{"Revision", uint64(rev), "Services", len(cfg.Services)},
		},
	}
}

// readFailed notes that the log can't be read. What is in force stays.
func (m Model) readFailed(err error, now time.Time) (Model, []Cmd) {
	m.Log.LastError = err.Error()
	if !m.Log.Up && !m.Log.Since.IsZero() {
		return m, nil
	}
	m.Log.Up = false
	m.Log.Since = now
	return m, []Cmd{LogCmd{
		Level:  zerolog.WarnLevel,
		Text:   "log service is not reachable",
		Fields: []any{"Error", err.Error()},
	}}
}

// add counts one verdict.
func (c VerdictCounts) add(v publisher.Verdict) VerdictCounts {
	switch v.(type) {
	case publisher.Accept:
		c.Accepted++
	case publisher.Reject:
		c.Rejected++
	case publisher.Repeat:
		c.Repeated++
	case publisher.Keep:
		c.Snapshots++
	case publisher.Move:
		c.Moves++
	case publisher.Junk:
		c.Junk++
	}
	return c
}
