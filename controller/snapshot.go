package controller

import (
	"time"

	"github.com/rs/zerolog"

	"savoryroad.dev/appender"
)

const (
	// snapshotAge is the part of the log's retention after which the latest
	// snapshot is replaced.
	snapshotAge = 0.25
	// snapshotSpread is the part of the retention over which the entries'
	// jitter spreads the replacement.
	snapshotSpread = 0.125
	// snapshotRetry is the part of the retention between two tries.
	snapshotRetry = 0.02
)

// keepSnapshot appends a snapshot when the latest one has grown old. With all
// entries following the rule, every record is covered by a snapshot that the
// log keeps for at least half of its retention more.
func (m Model) keepSnapshot(now time.Time) (Model, []Cmd) {
	if !m.snapshotDue(now) {
		return m, nil
	}
	data, err := m.Reader.Snapshot()
	if err != nil {
		return m, []Cmd{LogCmd{Level: zerolog.ErrorLevel, Text: "snapshot can't be written", Fields: []any{"Error", err.Error()}}}
	}
	m.Snapshot.Appending = true
	m.Snapshot.LastTry = now
	return m, []Cmd{AppendSnapshotCmd{Data: data}}
}

func (m Model) snapshotDue(now time.Time) bool {
	if m.Phase != Serving || m.Snapshot.Appending || !m.Log.Up || !m.Reader.Synced || m.Reader.State.Revision == 0 {
		return false
	}
	if now.Sub(m.Snapshot.LastTry) < m.part(snapshotRetry) {
		return false
	}
	latest := m.Reader.SnapshotTime
	if latest.IsZero() {
		latest = m.Reader.State.Recent[0].Time
	}
	return now.Sub(latest) > m.part(snapshotAge+snapshotSpread*m.Snapshot.Jitter)
}

// part returns a part of the log's retention.
func (m Model) part(p float64) time.Duration { return time.Duration(float64(m.Retention) * p) }

func (m Model) snapshotDone(o appender.Outcome) (Model, []Cmd) {
	m.Snapshot.Appending = false
	if _, ok := o.(appender.Appended); ok {
		m.Snapshot.Appends++
	}
	return m, nil
}
