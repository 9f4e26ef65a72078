package controller

import (
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/appender"
	"savoryroad.dev/publisher"
)

// readPage folds records and puts the newest usable revision in force.
func (m Model) readPage(p appender.Page, now time.Time) (Model, []Cmd) {
	var cmds []Cmd
	if !m.Log.Up {
		m.Log.Since = now
		cmds = append(cmds, LogCmd{Level: zerolog.InfoLevel, Text: "log service is reachable"})
	}
	m.Log.Up = true
	m.Log.LastRead = now
	m.Log.LastError = ""

	before := m.Reader.State.Revision
	wasSynced := m.Reader.Synced
	var verdicts []publisher.Verdict
	m.Reader, verdicts = m.Reader.Read(p)
	for _, v := range verdicts {
		m.Verdicts = m.Verdicts.add(v)
	}
	if wasSynced && !m.Reader.Synced {
		cmds = append(cmds, LogCmd{Level: zerolog.WarnLevel, Text: "the log forgot changes that were not read; waiting for a snapshot"})
	}
	if m.Reader.State.Revision == before {
		return m, cmds
	}
	m, more := m.install(now)
	return m, append(cmds, more...)
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
	case publisher.Junk:
		c.Junk++
	}
	return c
}
